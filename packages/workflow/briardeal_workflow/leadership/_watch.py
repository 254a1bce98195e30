"""Failure detection of the owner by the other entries."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import OwnerHeartbeat, WatchRequest

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection, Network
    from briardeal_workflow.admission import SummaryCache
    from briardeal_workflow.leadership._election import Election
    from briardeal_workflow.leadership._records import OwnerRecord

OWNER_HEARTBEAT_INTERVAL_S = 0.3
"""Interval between heartbeats of the owner to each entry."""

RECEIVE_TIMEOUT_S = 1.0
"""Silence after which the entry reconnects; the network may have dropped the connection."""

RECONNECT_DELAY_S = 0.15
"""Delay before a new connection to the owner is opened."""

MAX_REFUSED_CONNECTIONS = 2
"""Number of consecutive refused connections after which the owner counts as lost."""


class WatchOutcome(enum.Enum):
    """Reason why one connection to the owner is no longer watched."""

    SILENT = "silent"
    """No connection or no heartbeat within the timeout."""
    REFUSED = "refused"
    """The connection was refused."""
    CLOSED = "closed"
    """The open connection was closed."""
    DENIED = "denied"
    """The entry reports that it is not the owner under this fencing token."""
    REPLACED = "replaced"
    """A newer owner is known, or this entry is shutting down."""


class OwnerWatch:
    """Watches the owner over a connection and reports heartbeats and failures to the election.

    Parameters
    ----------
    election, network
        Election to notify, and network to connect with.
    summaries
        Receives the owner's summaries of its work.
    """

    def __init__(
        self, election: Election, network: Network, summaries: SummaryCache | None = None
    ) -> None:
        self.summaries = summaries
        self.election = election
        self.network = network

    async def run(self) -> None:
        """Watch the current owner until cancelled."""
        refusals = 0
        while True:
            owner = self.election.owner
            # An entry that is shutting down can't take over, so the owner must not hand over to it.
            if owner is not None and not self.election.leaving and not self._is_own_claim(owner):
                outcome = await self._watch(owner.address, owner.epoch)
                refusals = refusals + 1 if outcome is WatchOutcome.REFUSED else 0
                if outcome is WatchOutcome.DENIED:
                    self.election.mark_owner_lost(owner.epoch, certain=True)
                elif refusals >= MAX_REFUSED_CONNECTIONS:
                    self.election.mark_owner_lost(owner.epoch, certain=False)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _is_own_claim(self, owner: OwnerRecord) -> bool:
        """Return whether this run or an earlier one of this entry has made a claim."""
        return owner.entry_id == self.election.entry_id

    async def _watch(self, address: str, epoch: int) -> WatchOutcome:
        """Connect to the owner and process its heartbeats until the connection ends."""
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                connection = await self.network.connect(address)
        except TimeoutError:
            return WatchOutcome.SILENT
        if isinstance(connection, Closed):
            return WatchOutcome.REFUSED
        log_event(Event.LINK_OPENED, peer=address, epoch=epoch)
        try:
            return await self._receive_heartbeats(connection, epoch)
        finally:
            await connection.close()

    async def _receive_heartbeats(self, connection: Connection, epoch: int) -> WatchOutcome:
        told: bool | None = None
        while self.election.epoch == epoch and not self.election.leaving:
            if told != self.election.can_take_over:
                told = self.election.can_take_over
                await connection.send(WatchRequest(self.election.entry_id, told))
            try:
                async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                    message = await connection.receive()
            except TimeoutError:
                log_event(Event.LINK_LOST, epoch=epoch, detail="silent")
                return WatchOutcome.SILENT
            if isinstance(message, Closed):
                log_event(Event.LINK_LOST, epoch=epoch, detail=message.detail)
                return WatchOutcome.CLOSED
            if not isinstance(message, OwnerHeartbeat):
                continue
            if message.epoch != epoch:
                return WatchOutcome.DENIED
            self.election.record_heartbeat(
                epoch, message.store_failing_s, message.planning_age_s, message.heard_agents
            )
            if self.summaries is not None:
                self.summaries.record(epoch, message.admission, loop_time())
        return WatchOutcome.REPLACED
