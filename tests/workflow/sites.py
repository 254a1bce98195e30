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
    """Run an emulated deployment, and check at its end that no invariant was violated."""
    emulator = Emulator(**fields)
    await emulator.start()
    try:
        await emulator.wait_for_owner()
        yield emulator
    finally:
        await emulator.stop()
    assert not emulator.checker.violations, emulator.checker.violations


async def restart_processes(site: Emulator, names: list[str], down_s: float) -> None:
    """Kill processes, wait, and start them again."""
    for name in names:
        await site.kill(name)
    await asyncio.sleep(down_s)
    for name in names:
        site.start_process(name)
