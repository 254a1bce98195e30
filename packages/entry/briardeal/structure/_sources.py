"""What the links between entries read of the rest of the entry."""

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


class StoredConfiguration:
    """The configuration of this entry as peers exchange it.

    Parameters
    ----------
    store
        The configuration of this entry.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        self.store = store

    def version(self) -> int:
        """Return the version that a peer should better."""
        return self.store.version_for_peers

    def value(self) -> bytes:
        """Return the configuration held, with what this entry knows of the log."""
        newest = self.store.newest()
        return b"" if newest is None else msgspec.msgpack.encode(newest)

    def offer(self, version: int, value: bytes) -> None:
        """Take a configuration from a peer, unless the one held is as new."""
        try:
            offered = msgspec.msgpack.decode(value, type=VersionedConfiguration)
        except msgspec.DecodeError:
            return
        self.store.offer(offered)


class ReadLog:
    """What this entry has read of the log.

    Parameters
    ----------
    ownership
        The claim of this entry on its region, which follows the log.
    """

    def __init__(self, ownership: Ownership) -> None:
        self.ownership = ownership

    def last_read_s(self) -> float | None:
        """Return when the log last answered a read, on the loop's clock; `None` for never."""
        age_s = self.ownership.log_age_s()
        return None if age_s is None else loop_time() - age_s

    def highest_token(self) -> int:
        """Return the highest fencing token read."""
        return self.ownership.highest_token


class PeerStates:
    """What the other entries say of the log.

    Parameters
    ----------
    entry
        This entry.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry

    def log_states(self) -> Sequence[PeerLogState]:
        """Return the state of each entry that is linked."""
        return self.entry.peers.table.log_states()
