"""The connections from an agent to all entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_agent.links._entry import EntryLink
from briardeal_core.clock import loop_time

if TYPE_CHECKING:
    import random

    from briardeal_agent.links._entry import Host
    from briardeal_protocol.connections import Network
    from briardeal_protocol.messages import AgentMessage

REMOVE_AFTER_S = 600.0
"""Time without a connection after which the link to an entry is removed, in seconds."""

LINK_LIMIT = 64
"""Maximum number of entries that an agent connects to."""


class EntryLinks:
    """One link to each known entry.

    Parameters
    ----------
    host
        The agent.
    network
        Opens connections.
    rng
        Source of jitter.
    permanent
        Addresses from the settings; links to them are never removed.
    """

    def __init__(
        self, host: Host, network: Network, rng: random.Random, permanent: tuple[str, ...]
    ) -> None:
        self.host = host
        self.network = network
        self.rng = rng
        self.permanent = frozenset(permanent)
        self.links: dict[str, EntryLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def connect(self, addresses: tuple[str, ...]) -> None:
        """Open a link to each address that has none yet."""
        for address in addresses:
            if address not in self.links and len(self.links) < LINK_LIMIT:
                link = EntryLink(self.host, self.network, address, self.rng)
                self.links[address] = link
                self.tasks[address] = asyncio.create_task(link.run())

    def remove_lost(self) -> None:
        """Remove links that have had no connection for `REMOVE_AFTER_S`."""
        oldest_s = loop_time() - REMOVE_AFTER_S
        for address, link in list(self.links.items()):
            if link.entry is None and link.lost_s <= oldest_s and address not in self.permanent:
                self.tasks.pop(address).cancel()
                del self.links[address]

    async def broadcast(self, message: AgentMessage) -> None:
        """Send a message to every connected entry."""
        await asyncio.gather(*(link.send(message) for link in self.links.values()))

    async def close(self) -> None:
        """Close all links."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for link in self.links.values():
            await link.close()
