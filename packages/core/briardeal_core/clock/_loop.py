"""The clock of the running event loop, which tests can pause and advance."""

from __future__ import annotations

import asyncio


def loop_time() -> float:
    """Return the time on the clock of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()
