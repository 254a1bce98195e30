"""Versions taken from peers, for processes that the log does not answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from mode import Service

from briardeal_core.configuration.store._records import VersionedConfiguration

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from briardeal_core.configuration.store._store import ConfigurationStore

EXCHANGE_INTERVAL_S = 1.5
PEER_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class PeerUnavailable:
    """The peer did not answer."""

    detail: str


class ConfigurationPeer(Protocol):
    """Another process that keeps the configuration."""

    async def newer_than(self, version: int) -> VersionedConfiguration | PeerUnavailable | None:
        """Return what the peer has in force if it is above a version, otherwise `None`."""


class ConfigurationExchange(Service):
    """Asks all peers, again and again, for anything newer.

    Parameters
    ----------
    store
        Takes what comes.
    peers
        Returns the peers of the moment.
    rng
        Source of jitter.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        peers: Callable[[], Sequence[ConfigurationPeer]],
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.store = store
        self.peers = peers
        self.rng = rng

    @Service.task
    async def _exchange(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*(self._ask(peer) for peer in self.peers()))
            await asyncio.sleep(EXCHANGE_INTERVAL_S * self.rng.uniform(0.5, 1.0))

    async def _ask(self, peer: ConfigurationPeer) -> None:
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await peer.newer_than(self.store.wanted_version)
        except TimeoutError:
            return
        if isinstance(answer, VersionedConfiguration):
            self.store.offer(answer)
