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

FORGET_AFTER_S = 600.0
"""Time without a connection after which an entry is taken to be gone for good."""

LINK_LIMIT = 64
"""Most entries that an agent connects to."""


class EntryLinks:
    """One link to each entry that the agent was told of.

    Parameters
    ----------
    host
        The agent.
    network
        Opens connections.
    rng
        Source of jitter.
    kept
        Addresses from the settings, which are never forgotten.
    """

    def __init__(
        self, host: Host, network: Network, rng: random.Random, kept: tuple[str, ...]
    ) -> None:
        self.host = host
        self.network = network
        self.rng = rng
        self.kept = frozenset(kept)
        self.links: dict[str, EntryLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Open a link to every entry that is not linked yet."""
        for address in addresses:
            if address not in self.links and len(self.links) < LINK_LIMIT:
                link = EntryLink(self.host, self.network, address, self.rng)
                self.links[address] = link
                self.tasks[address] = asyncio.create_task(link.run())

    def forget_lost(self) -> None:
        """Give up the links that have had no connection for long."""
        oldest_s = loop_time() - FORGET_AFTER_S
        for address, link in list(self.links.items()):
            if link.entry is None and link.lost_s <= oldest_s and address not in self.kept:
                self.tasks.pop(address).cancel()
                del self.links[address]

    async def tell_all(self, message: AgentMessage) -> None:
        """Send a message to every entry that is connected."""
        await asyncio.gather(*(link.send(message) for link in self.links.values()))

    async def close(self) -> None:
        """End every link."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for link in self.links.values():
            await link.close()
