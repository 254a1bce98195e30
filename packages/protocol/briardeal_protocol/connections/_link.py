"""Requests and replies over one connection."""

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
    """No reply arrived within the timeout; the request may or may not have been received."""


class Call(Protocol):
    """A message that expects a reply with the same `call_id`."""

    call_id: int


class Link:
    """Sends calls over one connection and matches replies to them.

    Parameters
    ----------
    connection
        Connection that carries the calls and the replies.

    Attributes
    ----------
    pending
        Future of the reply to each call that has none yet, by `call_id`.
    closed
        Whether the connection is closed; further calls fail at once.
    """

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.closed = False
        self._call_ids = itertools.count(1)

    def next_call_id(self) -> int:
        """Return a new `call_id`, unique on this connection."""
        return next(self._call_ids)

    async def call(self, message: Call, timeout_s: float) -> Message | Closed | TimedOut:
        """Send a call and wait for its reply."""
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
        """Read until the connection closes; await `handle` for each message but replies."""
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
        """Complete every pending call with `closed`."""
        self.closed = True
        for future in self.pending.values():
            if not future.done():
                future.set_result(closed)
