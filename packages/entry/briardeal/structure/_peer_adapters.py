"""Adapters between the peer service and the other services of the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_core.clock import loop_time
from briardeal_core.configuration.store import VersionedConfiguration

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal.jobs.ownership import Ownership, PeerLogState
    from briardeal.structure._entry import Entry
    from briardeal_core.configuration.store import ConfigurationStore


class ConfigurationAdapter:
    """Gives the peer service access to the configuration of this entry.

    Parameters
    ----------
    store
        Configuration store of this entry.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        self.store = store

    def version(self) -> int:
        """Return the version above which a peer's configuration is wanted."""
        return self.store.version_for_peers

    def value(self) -> bytes:
        """Return the newest configuration with the log position of this entry, encoded for peers.

        Empty if there is no configuration.
        """
        newest = self.store.newest()
        return b"" if newest is None else msgspec.msgpack.encode(newest)

    def offer(self, version: int, value: bytes) -> None:
        """Adopt a configuration received from a peer if it is newer; ignore an undecodable one."""
        try:
            offered = msgspec.msgpack.decode(value, type=VersionedConfiguration)
        except msgspec.DecodeError:
            return
        self.store.offer(offered)


class LogStatusAdapter:
    """Gives the peer service the progress of this entry in reading the log.

    Parameters
    ----------
    ownership
        Region ownership of this entry, which follows the log.
    """

    def __init__(self, ownership: Ownership) -> None:
        self.ownership = ownership

    def last_read_s(self) -> float | None:
        """Return the time of the last successful log read on the loop's clock; `None` if never."""
        age_s = self.ownership.log_age_s()
        return None if age_s is None else loop_time() - age_s

    def highest_token(self) -> int:
        """Return the highest fencing token read from the log."""
        return self.ownership.highest_token


class PeerLogStateAdapter:
    """Gives the region ownership the log states that other entries report.

    Parameters
    ----------
    entry
        This entry.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry

    def log_states(self) -> Sequence[PeerLogState]:
        """Return the log state of each linked entry."""
        return self.entry.peers.table.log_states()
