"""A process ends with 0 on a signal and with 1 on a crash."""

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
        raise AssertionError("an invariant")


class Parent(Service):
    def on_init_dependencies(self) -> list[Service]:
        return [Broken()]


async def test_a_signal_ends_the_process():
    async with Idle() as service:
        waiting = asyncio.create_task(wait_for_shutdown(service))
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        assert await waiting == 0


async def test_a_crash_below_ends_the_process():
    async with Parent() as service:
        async with asyncio.timeout(5):
            assert await wait_for_shutdown(service) == 1
        assert isinstance(service.crash_reason, AssertionError)
