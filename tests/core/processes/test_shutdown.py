"""A process exits with 0 after a signal and with 1 after a crash."""

from __future__ import annotations

import asyncio
import os
import signal

from mode import Service

from briardeal_core.processes import wait_for_shutdown


class Idle(Service):
    pass


class Broken(Service):
    @Service.task
    async def _work(self) -> None:
        raise AssertionError("invariant violated")


class Parent(Service):
    def on_init_dependencies(self) -> list[Service]:
        return [Broken()]


async def test_signal_ends_the_wait_with_exit_code_0():
    async with Idle() as service:
        waiting = asyncio.create_task(wait_for_shutdown(service))
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        assert await waiting == 0


async def test_crash_of_a_child_service_ends_the_wait_with_exit_code_1():
    async with Parent() as service:
        async with asyncio.timeout(5):
            assert await wait_for_shutdown(service) == 1
        assert isinstance(service.crash_reason, AssertionError)
