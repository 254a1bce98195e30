"""Requests and replies over one connection."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from briardeal_core.clock import loop_time
from briardeal_core.http import TransferDeadline
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


class Part(Protocol):
    """A message that precedes the reply to a call, and has the same `call_id`.

    Attributes
    ----------
    is_part
        True; replies lack it.
    progress_bytes
        Size of the part of the reply for which it stands.
    """

    call_id: int
    is_part: bool
    progress_bytes: int


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
        self._part_handlers: dict[int, Callable[[Part], None]] = {}

    def next_call_id(self) -> int:
        """Return a new `call_id`, unique on this connection."""
        return next(self._call_ids)

    async def call(
        self, message: Call, timeout_s: float, on_part: Callable[[Part], None] | None = None
    ) -> Message | Closed | TimedOut:
        """Send a call and wait for its reply.

        Parameters
        ----------
        message
            The call.
        timeout_s
            Longest time until the reply, or its first part, in seconds. `TransferDeadline` decides
            how long further parts are waited for.
        on_part
            Called with each part that precedes the reply; by default the reply is waited for alone.
        """
        if self.closed:
            return Closed("closed")
        future = asyncio.get_running_loop().create_future()
        self.pending[message.call_id] = future
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                if on_part is not None:
                    handler = _extend(timeout, timeout_s, on_part)
                    self._part_handlers[message.call_id] = handler
                sent = await self.connection.send(message)
                return sent if sent is not None else await future
        except TimeoutError:
            return TimedOut()
        finally:
            self.pending.pop(message.call_id, None)
            self._part_handlers.pop(message.call_id, None)

    async def run(self, handle: Callable[[Message], Awaitable[None]]) -> Closed:
        """Read until the connection closes; await `handle` for each message but replies."""
        while True:
            message = await self.connection.receive()
            if isinstance(message, Closed):
                self.close_calls(message)
                return message
            call_id = getattr(message, "call_id", 0)
            future = self.pending.get(call_id)
            if getattr(message, "is_part", False):
                self._part_handlers.get(call_id, _ignore_part)(message)
            elif future is not None and not future.done():
                future.set_result(message)
            else:
                await handle(message)

    def close_calls(self, closed: Closed) -> None:
        """Complete every pending call with `closed`."""
        self.closed = True
        for future in self.pending.values():
            if not future.done():
                future.set_result(closed)


def _extend(
    timeout: asyncio.Timeout, timeout_s: float, on_part: Callable[[Part], None]
) -> Callable[[Part], None]:
    """Return a function that extends a timeout with each part of a reply."""
    deadline = TransferDeadline(loop_time(), timeout_s)

    def extend(part: Part) -> None:
        if not timeout.expired():
            timeout.reschedule(deadline.record(part.progress_bytes, loop_time()))
        on_part(part)

    return extend


def _ignore_part(part: Part) -> None:
    """Discard a part of a reply that nothing waits for any more."""
