"""Emulated deployments for tests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from briardeal_standins.emulator import Emulator

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def run_site(**fields: object) -> AsyncIterator[Emulator]:
    """Run a deployment, and require that it has broken no promise."""
    emulator = Emulator(**fields)
    await emulator.start()
    try:
        await emulator.wait_for_owner()
        yield emulator
    finally:
        await emulator.stop()
    assert not emulator.checker.breaches, emulator.checker.breaches


async def restart_processes(site: Emulator, names: list[str], down_s: float) -> None:
    """End processes at once and start them again some time later."""
    for name in names:
        await site.kill(name)
    await asyncio.sleep(down_s)
    for name in names:
        site.start_process(name)
