"""The connection to one other entry with its lease and pending calls."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from briardeal.peers._bridges import FailureDomainId
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
    """A connection to another entry, with its lease and pending calls.

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
    last_received_s
        When the last message was received, on the event loop's clock.
    last_confirmed_s
        When the peer last confirmed a new heartbeat of this entry, on the same clock.
    heartbeat
        The last heartbeat received; `None` before the first.
    heartbeat_received_s
        When it was received, on the same clock.
    leaving
        Whether the peer is shutting down and accepts no new work.
    sequence
        Number of heartbeats sent.
    domains
        Failure domains of other regions that the peer reports.
    counted_sent, counted_received
        Bytes already added to the metrics.
    pending_calls
        Forwards sent that have no answer yet, by call number.
    pending_tasks
        Tasks that handle messages of the peer.
    """

    def __init__(self, connection: PeerConnection, member: Member, dialer: str) -> None:
        self.connection = connection
        self.member = member
        self.dialer = dialer
        self.domain = FailureDomainId.of(member)
        self.opened_s = self.last_received_s = self.last_confirmed_s = loop_time()
        self.heartbeat: PeerHeartbeat | None = None
        self.heartbeat_received_s = self.last_received_s
        self.leaving = False
        self.sequence = 0
        self.domains: dict[FailureDomainId, RemoteDomain] = {}
        self.counted_sent = 0
        self.counted_received = 0
        self.pending_calls: dict[int, asyncio.Future[Reply | Closed]] = {}
        self.pending_tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._heartbeat_requested = asyncio.Event()

    @property
    def expired(self) -> bool:
        """Whether the lease has expired in either direction."""
        now_s = loop_time()
        # A heartbeat is confirmed by the peer's next heartbeat.
        unconfirmed_s = now_s - self.last_confirmed_s - HEARTBEAT_INTERVAL_S
        return max(now_s - self.last_received_s, unconfirmed_s) >= LEASE_S

    @property
    def busy(self) -> bool:
        """Whether calls or message handlers are pending."""
        return bool(self.pending_calls or self.pending_tasks)

    async def send(self, message: PeerMessage) -> Closed | Broken | None:
        """Send one message."""
        return await self.connection.send(message)

    async def call(self, forward: Forward, timeout_s: float) -> Reply | Closed | Broken | TimedOut:
        """Send a forward and wait for its answer; `Closed` means that it was certainly not sent."""
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[forward.call_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                failed = await self.send(forward)
                return failed if failed is not None else await future
        except TimeoutError:
            return TimedOut()
        finally:
            del self.pending_calls[forward.call_id]

    def next_call_id(self) -> int:
        """Return the number of the next call on this connection."""
        return next(self._numbers)

    def record_message(self, message: PeerMessage) -> None:
        """Renew the lease with a received message and resolve the call that it answers."""
        self.last_received_s = loop_time()
        if isinstance(message, Forwarded | ForwardRefused):
            future = self.pending_calls.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
        elif isinstance(message, PeerHeartbeat):
            confirmed = 0 if self.heartbeat is None else self.heartbeat.last_received
            if message.last_received > confirmed:
                self.last_confirmed_s = self.last_received_s
            self.heartbeat = message
            self.heartbeat_received_s = self.last_received_s

    def request_heartbeat(self) -> None:
        """Make the next heartbeat due immediately."""
        self._heartbeat_requested.set()

    async def wait_until_heartbeat_due(self) -> None:
        """Wait until the next heartbeat is due."""
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._heartbeat_requested.wait()
        except TimeoutError:
            pass
        self._heartbeat_requested.clear()

    def track_task(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a task that handles a message until it ends."""
        self.pending_tasks.add(task)
        task.add_done_callback(self.pending_tasks.discard)

    async def close(self) -> None:
        """Close the connection and fail all pending calls."""
        await self.connection.close()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_result(Broken("the connection was lost"))
