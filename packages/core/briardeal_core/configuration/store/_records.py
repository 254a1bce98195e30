"""Records of the configuration that are stored in the log or sent to peers."""

from __future__ import annotations

import msgspec

from briardeal_core.configuration._model import Configuration
from briardeal_core.log import RecordKind, Schema

CONFIGURATION_FORMAT = 1
"""Format of the body; raised when the previous program version would misread a configuration."""


class ConfigurationPublished(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration change as stored in the log.

    The meaning of the fields never changes, so that programs of all versions agree on which change
    won, even if they can't decode the body.

    Parameters
    ----------
    change_id
        Identifier of the change.
    expected_version
        The change wins only if this version is in force when the log stores the change. A change
        with `None` always wins; it is used only after the log has lost the earlier changes.
    author
        Author of the change.
    format
        Format of the body.
    body
        The encoded configuration.
    """

    change_id: str
    expected_version: int | None
    author: str
    format: int
    body: bytes


class VersionedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration change that won, as sent between processes.

    Parameters
    ----------
    version
        Offset of the record of the change plus 1, so that versions only increase.
    change_id, author, format, body
        The same as in `ConfigurationPublished`.
    accepted_at_s
        When the log stored the change, by the clock of the log, in seconds since the epoch.
    folded_to
        Offset up to which the sender has read the log without a newer change that won; 0 if
        unknown.
    """

    version: int
    change_id: str
    author: str
    format: int
    body: bytes
    accepted_at_s: float
    folded_to: int = 0

    def decode(self) -> Configuration | None:
        """Return the configuration, or `None` if this program can't decode it."""
        return decode_body(self.format, self.body)


class HistoryItem(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration change and its outcome.

    Parameters
    ----------
    change_id, author, expected_version
        The same as in `ConfigurationPublished`.
    version
        Version of the configuration after the change; `None` if the change lost.
    in_force
        The version in force after the change.
    appended_at_s
        When the log stored the change, in seconds since the epoch.
    """

    change_id: str
    author: str
    expected_version: int | None
    version: int | None
    in_force: int
    appended_at_s: float


CONFIGURATION_SCHEMA = Schema([RecordKind("configuration_published", ConfigurationPublished)])


def decode_body(body_format: int, body: bytes) -> Configuration | None:
    """Decode a configuration; return `None` if it is too new for this program or invalid."""
    if body_format > CONFIGURATION_FORMAT:
        return None
    try:
        return msgspec.msgpack.decode(body, type=Configuration)
    except msgspec.MsgspecError:
        return None
