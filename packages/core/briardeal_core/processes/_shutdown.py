"""Waiting for a termination signal or for a crash."""

from __future__ import annotations

import asyncio
import signal
import traceback
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from mode import Service

SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_shutdown(service: Service) -> int:
    """Wait for a termination signal, or for the crash of a service that has been started.

    Returns
    -------
    int
        Exit code of the process: 0 after a signal, 1 after a crash, which is logged.
    """
    signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, signalled.set)
    try:
        await service.wait(signalled)
    except Exception:
        # The service raises its crash reason again; the crash is handled below by its state.
        assert service.crashed
    if not service.crashed:
        return 0
    reason = service.crash_reason
    log_event(
        Event.PROCESS_CRASHED,
        error=repr(reason),
        stack="".join(traceback.format_exception(reason)),
    )
    return 1
