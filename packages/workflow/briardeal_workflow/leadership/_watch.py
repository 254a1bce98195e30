"""Watch of the owner by the other entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import EntryJoin, OwnerBeat

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection, Network
    from briardeal_workflow.leadership._election import Election

OWNER_BEAT_S = 0.3
"""Time between two words of the owner to each entry."""

SILENT_LINK_S = 1.0
"""Silence after which a connection is opened anew; it may have been forgotten on its way."""

RETRY_S = 0.15
"""Pause before the owner is connected to again."""

REFUSALS_LOST = 2
"""Connections refused or ended in a row that show that the owner is gone."""


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
        ended_quickly = 0
        while True:
            owner = self.election.owner
            if owner is None or self.election.owns:
                ended_quickly = 0
                await asyncio.sleep(RETRY_S)
                continue
            opened_s = loop_time()
            heard = await self._watch(owner.address, owner.epoch)
            # A connection that ends by itself or is refused shows a process that is gone; one that
            # hangs may be the network.
            ended = loop_time() - opened_s < SILENT_LINK_S or heard
            ended_quickly = ended_quickly + 1 if ended else 0
            if ended_quickly >= REFUSALS_LOST:
                self.election.note_owner_lost(owner.epoch)
            await asyncio.sleep(RETRY_S)

    async def _watch(self, address: str, epoch: int) -> bool:
        """Hear one connection to its end; return whether the other side ended it."""
        try:
            async with asyncio.timeout(SILENT_LINK_S):
                connection = await self.network.connect(address)
        except TimeoutError:
            return False
        if isinstance(connection, Closed):
            return False
        log_event(Event.LINK_OPENED, peer=address, epoch=epoch)
        try:
            await connection.send(EntryJoin(self.election.entry_id))
            return await self._hear(connection, epoch)
        finally:
            await connection.close()

    async def _hear(self, connection: Connection, epoch: int) -> bool:
        while self.election.epoch == epoch:
            try:
                async with asyncio.timeout(SILENT_LINK_S):
                    message = await connection.receive()
            except TimeoutError:
                log_event(Event.LINK_LOST, epoch=epoch, detail="silent")
                return False
            if isinstance(message, Closed):
                log_event(Event.LINK_LOST, epoch=epoch, detail=message.detail)
                return True
            if not isinstance(message, OwnerBeat):
                continue
            if message.epoch != epoch:
                self.election.note_owner_lost(epoch)
                return True
            self.election.note_owner_heard(epoch, message.store_failing_s)
        return False
