"""Records of a region's owner stream."""

from __future__ import annotations

import msgspec

from briardeal_core.log import RecordKind, Schema


class OwnerClaimed(msgspec.Struct, frozen=True, kw_only=True):
    """An entry claims a region; the offset after this record is its fencing token."""

    entry_id: str


class OwnerRenewed(msgspec.Struct, frozen=True, kw_only=True):
    """The owner renews its lease.

    Parameters
    ----------
    token
        Fencing token of the owner.
    peers
        Entries of the region that must confirm the lease while the log is unreachable.
    workers
        Highest recent number of workers of the owner.
    """

    token: int
    peers: tuple[str, ...] = ()
    workers: int = 0


class OwnerReleased(msgspec.Struct, frozen=True, kw_only=True):
    """The owner released the region; it starts no more jobs, and its decisions are in the log."""

    token: int


OWNER_SCHEMA = Schema(
    [
        RecordKind("owner_claimed", OwnerClaimed),
        RecordKind("owner_renewed", OwnerRenewed),
        RecordKind("owner_released", OwnerReleased),
    ]
)


def owner_stream(region: str) -> str:
    """Return the name of a region's owner stream."""
    return f"owners-{region}"
