"""What is kept and sent of a configuration."""

from __future__ import annotations

import msgspec

from briardeal_core.configuration._model import Configuration
from briardeal_core.log import RecordKind, Schema

CONFIGURATION_FORMAT = 1
"""Raised when a program of the version before would misread a configuration."""


class ConfigurationPublished(msgspec.Struct, frozen=True, kw_only=True):
    """A change of configuration as it stands on the log.

    Its fields never change their meaning, so that programs of any version agree on which change
    won, even where they can't read the body.

    Parameters
    ----------
    change_id
        Identifier of the change.
    expected_version
        The change wins only if this version is in force when the log takes it; `None` wins always
        and is used only after the log has lost everything.
    author
        Who made it.
    format
        Format of the body.
    body
        The configuration.
    """

    change_id: str
    expected_version: int | None
    author: str
    format: int
    body: bytes


class VersionedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration that won, as processes pass it on.

    Parameters
    ----------
    version
        One above the offset of its record, so that versions only rise.
    change_id, author, format, body
        As in the record.
    accepted_at_s
        When the log took it, by the log's clock, in seconds since the epoch.
    folded_to
        Offset up to which the sender knows that nothing newer has won; 0 when it does not know.
    """

    version: int
    change_id: str
    author: str
    format: int
    body: bytes
    accepted_at_s: float
    folded_to: int = 0

    def decode(self) -> Configuration | None:
        """Return the configuration, or `None` where this program is too old for it."""
        return decode_body(self.format, self.body)


class HistoryItem(msgspec.Struct, frozen=True, kw_only=True):
    """One change and what became of it.

    Parameters
    ----------
    change_id, author, expected_version
        As in the record.
    version
        The version that it became; `None` where it lost.
    in_force
        The version in force after it.
    appended_at_s
        When the log took it, in seconds since the epoch.
    """

    change_id: str
    author: str
    expected_version: int | None
    version: int | None
    in_force: int
    appended_at_s: float


CONFIGURATION_SCHEMA = Schema([RecordKind("configuration_published", ConfigurationPublished)])


def decode_body(body_format: int, body: bytes) -> Configuration | None:
    """Return a configuration, or `None` where this program is too old for it."""
    if body_format > CONFIGURATION_FORMAT:
        return None
    try:
        return msgspec.msgpack.decode(body, type=Configuration)
    except msgspec.MsgspecError:
        return None
