"""Records of a region's owner stream."""

from __future__ import annotations

import msgspec

from briardeal_core.log import RecordKind, Schema


class OwnerClaimed(msgspec.Struct, frozen=True, kw_only=True):
    """An entry takes over a region; the offset after this record is its fencing token."""

    entry_id: str


class OwnerRenewed(msgspec.Struct, frozen=True, kw_only=True):
    """An owner goes on.

    Parameters
    ----------
    token
        Fencing token of the owner.
    peers
        Entries of the region that the owner asks before it goes on without the log.
    workers
        Number of workers that it knows.
    """

    token: int
    peers: tuple[str, ...] = ()
    workers: int = 0


class OwnerReleased(msgspec.Struct, frozen=True, kw_only=True):
    """An owner starts nothing any more, and all its decisions stand in the log."""

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
