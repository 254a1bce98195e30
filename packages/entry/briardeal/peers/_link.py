"""The link to one other entry."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from briardeal.peers._carriers import DomainName
from briardeal_core.clock import loop_time
from briardeal_protocol.connections import Closed, TimedOut
from briardeal_protocol.peers import Broken, Forwarded, ForwardRefused, PeerHeartbeat

if TYPE_CHECKING:
    from briardeal.peers._table import RemoteDomain
    from briardeal_protocol.peers import Forward, Member, PeerConnection, PeerMessage

    Reply = Forwarded | ForwardRefused

LEASE_S = 3.0
HEARTBEAT_INTERVAL_S = 1.0


class PeerLink:
    """One connection to another entry, with its lease and the calls that wait for answers.

    Parameters
    ----------
    connection
        The connection.
    member
        The other entry.
    dialer
        Name of the entry that opened the connection.

    Attributes
    ----------
    heard_s
        When anything was last heard, on the loop's clock.
    confirmed_s
        When the other end last confirmed a new heartbeat of this one.
    heartbeat
        The last heartbeat heard.
    leaving
        Whether the other end takes no new work.
    domains
        Failure domains of other regions that the other end tells of.
    counted_sent, counted_received
        Bytes that the metrics have counted.
    """

    def __init__(self, connection: PeerConnection, member: Member, dialer: str) -> None:
        self.connection = connection
        self.member = member
        self.dialer = dialer
        self.domain = DomainName.of(member)
        self.opened_s = self.heard_s = self.confirmed_s = loop_time()
        self.heartbeat: PeerHeartbeat | None = None
        self.heartbeat_s = self.heard_s
        self.leaving = False
        self.sequence = 0
        self.domains: dict[DomainName, RemoteDomain] = {}
        self.counted_sent = 0
        self.counted_received = 0
        self.calls: dict[int, asyncio.Future[Reply | Closed]] = {}
        self.answering: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._wake = asyncio.Event()

    @property
    def lapsed(self) -> bool:
        """Whether the lease has lapsed in either direction."""
        now_s = loop_time()
        # A confirmation comes with the other end's next heartbeat.
        unconfirmed_s = now_s - self.confirmed_s - HEARTBEAT_INTERVAL_S
        return max(now_s - self.heard_s, unconfirmed_s) >= LEASE_S

    @property
    def busy(self) -> bool:
        """Whether a forward waits for its answer in either direction."""
        return bool(self.calls or self.answering)

    async def send(self, message: PeerMessage) -> Closed | Broken | None:
        """Send one message."""
        return await self.connection.send(message)

    async def call(self, forward: Forward, timeout_s: float) -> Reply | Closed | Broken | TimedOut:
        """Send a forward and wait for its answer; after `Closed` it was certainly not sent."""
        future = asyncio.get_running_loop().create_future()
        self.calls[forward.call_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                failed = await self.send(forward)
                return failed if failed is not None else await future
        except TimeoutError:
            return TimedOut()
        finally:
            del self.calls[forward.call_id]

    def next_call_id(self) -> int:
        """Return a number for the next call."""
        return next(self._numbers)

    def take(self, message: PeerMessage) -> None:
        """Take note of a message that was heard."""
        self.heard_s = loop_time()
        if isinstance(message, Forwarded | ForwardRefused):
            future = self.calls.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
        elif isinstance(message, PeerHeartbeat):
            confirmed = 0 if self.heartbeat is None else self.heartbeat.last_received
            if message.last_received > confirmed:
                self.confirmed_s = self.heard_s
            self.heartbeat = message
            self.heartbeat_s = self.heard_s

    def wake(self) -> None:
        """Let the next heartbeat go out at once."""
        self._wake.set()

    async def wait_heartbeat(self) -> None:
        """Wait until the next heartbeat is due."""
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def answer(self, task: asyncio.Task[None]) -> None:
        """Hold a task that works on a forward of the other end."""
        self.answering.add(task)
        task.add_done_callback(self.answering.discard)

    async def close(self) -> None:
        """End the connection and every call that waits for an answer."""
        await self.connection.close()
        for future in self.calls.values():
            if not future.done():
                future.set_result(Broken("the connection was lost"))
