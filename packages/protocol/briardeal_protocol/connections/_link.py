"""Calls and answers over one connection."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from briardeal_protocol.connections._connection import Closed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.connections._connection import Connection
    from briardeal_protocol.messages import Message


@dataclass(frozen=True)
class TimedOut:
    """No answer came in time; the call may or may not have arrived."""


class Call(Protocol):
    """A message that asks for an answer with the same number."""

    call_id: int


class Link:
    """Matches answers to calls over one connection.

    Parameters
    ----------
    connection
        The connection to use.
    """

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.closed = False
        self._numbers = itertools.count(1)

    def next_call_id(self) -> int:
        """Return a number for the next call."""
        return next(self._numbers)

    async def call(self, message: Call, timeout_s: float) -> Message | Closed | TimedOut:
        """Send a call and wait for its answer."""
        if self.closed:
            return Closed("closed")
        future = asyncio.get_running_loop().create_future()
        self.pending[message.call_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                sent = await self.connection.send(message)
                return sent if sent is not None else await future
        except TimeoutError:
            return TimedOut()
        finally:
            self.pending.pop(message.call_id, None)

    async def run(self, handle: Callable[[Message], Awaitable[None]]) -> Closed:
        """Read until the connection ends; await `handle` for all that answers no call."""
        while True:
            message = await self.connection.receive()
            if isinstance(message, Closed):
                self.close_calls(message)
                return message
            future = self.pending.get(getattr(message, "call_id", 0))
            if future is not None and not future.done():
                future.set_result(message)
            else:
                await handle(message)

    def close_calls(self, closed: Closed) -> None:
        """End every call that waits for an answer."""
        self.closed = True
        for future in self.pending.values():
            if not future.done():
                future.set_result(closed)
