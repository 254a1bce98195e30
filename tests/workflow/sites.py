"""Emulated deployments for tests."""

from __future__ import annotations

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
