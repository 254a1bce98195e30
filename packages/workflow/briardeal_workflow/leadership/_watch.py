"""Watch of the owner by the other entries."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import OwnerHeartbeat, WatchRequest

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection, Network
    from briardeal_workflow.leadership._election import Election

OWNER_HEARTBEAT_INTERVAL_S = 0.3
"""Time between two words of the owner to each entry."""

SILENT_LINK_S = 1.0
"""Silence after which a connection is opened anew; it may have been forgotten on its way."""

RETRY_S = 0.15
"""Pause before the owner is connected to again."""

REFUSALS_LOST = 2
"""Connections refused in a row after which the owner is taken to be gone."""


class Ending(enum.Enum):
    """How the watch over one connection came to its end."""

    SILENT = "silent"
    REFUSED = "refused"
    """Nobody listens there."""
    CLOSED = "closed"
    """The connection was open and ended."""
    DENIED = "denied"
    """Whoever listens there says that it is not the owner under this token."""
    REPLACED = "replaced"
    """Another owner is known."""


class OwnerWatch:
    """Keeps a connection to the owner and tells the election what it hears.

    Parameters
    ----------
    election, network
        Whom to tell, and how to connect.
    """

    def __init__(self, election: Election, network: Network) -> None:
        self.election = election
        self.network = network

    async def run(self) -> None:
        """Watch whoever owns the jobs until cancelled."""
        refusals = 0
        while True:
            owner = self.election.owner
            # One that is leaving takes nothing over, and the owner need not count on it.
            if owner is not None and not self.election.is_owner and not self.election.leaving:
                ending = await self._watch(owner.address, owner.epoch)
                refusals = refusals + 1 if ending is Ending.REFUSED else 0
                if ending is Ending.DENIED:
                    self.election.note_owner_lost(owner.epoch, certain=True)
                elif refusals >= REFUSALS_LOST:
                    self.election.note_owner_lost(owner.epoch, certain=False)
            await asyncio.sleep(RETRY_S)

    async def _watch(self, address: str, epoch: int) -> Ending:
        """Hear one connection to its end."""
        try:
            async with asyncio.timeout(SILENT_LINK_S):
                connection = await self.network.connect(address)
        except TimeoutError:
            return Ending.SILENT
        if isinstance(connection, Closed):
            return Ending.REFUSED
        log_event(Event.LINK_OPENED, peer=address, epoch=epoch)
        try:
            await connection.send(WatchRequest(self.election.entry_id))
            return await self._hear(connection, epoch)
        finally:
            await connection.close()

    async def _hear(self, connection: Connection, epoch: int) -> Ending:
        while self.election.epoch == epoch and not self.election.leaving:
            try:
                async with asyncio.timeout(SILENT_LINK_S):
                    message = await connection.receive()
            except TimeoutError:
                log_event(Event.LINK_LOST, epoch=epoch, detail="silent")
                return Ending.SILENT
            if isinstance(message, Closed):
                log_event(Event.LINK_LOST, epoch=epoch, detail=message.detail)
                return Ending.CLOSED
            if not isinstance(message, OwnerHeartbeat):
                continue
            if message.epoch != epoch:
                return Ending.DENIED
            self.election.note_owner_heard(epoch, message.store_failing_s)
        return Ending.REPLACED
