"""Earlier versions of the configuration and the differences between them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.configuration.store._diff import describe_changes
from briardeal_core.configuration.store._records import (
    CONFIGURATION_SCHEMA,
    ConfigurationPublished,
    decode_body,
)
from briardeal_core.log import BrokenRecord, EntryBatch, decode_envelope
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from briardeal_core.configuration._model import Configuration
    from briardeal_core.configuration.store._in_force import ConfigurationInForce
    from briardeal_core.configuration.store._records import HistoryItem
    from briardeal_core.configuration.store._view import ConfigurationView
    from briardeal_core.log import Log, LogEntry


class ConfigurationHistory:
    """Recent changes of the configuration, as far as the log retains them.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream of the configuration.
    view
        View of the changes that this process has read.
    in_force
        The configuration in force, with the versions that recently were.
    """

    def __init__(
        self, log: Log, stream: str, view: ConfigurationView, in_force: ConfigurationInForce
    ) -> None:
        self.log = log
        self.stream = stream
        self.view = view
        self.in_force = in_force

    def list_changes(self) -> tuple[HistoryItem, ...]:
        """Return the last changes, whether they won or lost, oldest first."""
        return tuple(self.view.history)

    async def read_version(self, version: int) -> Configuration | Refusal:
        """Return the configuration of a version that is still available, or a refusal."""
        found = self.in_force.recent.get(version)
        configuration = await self._read_from_log(version) if found is None else found.decode()
        if configuration is None:
            return Refusal(Reason.CONFIGURATION_VERSION_UNKNOWN, RunState.NOT_RUN)
        return configuration

    async def diff(self, old_version: int, new_version: int) -> tuple[str, ...] | Refusal:
        """Return the differences between two versions, one sentence each."""
        old = await self.read_version(old_version)
        if isinstance(old, Refusal):
            return old
        new = await self.read_version(new_version)
        if isinstance(new, Refusal):
            return new
        return describe_changes(old, new)

    async def _read_from_log(self, version: int) -> Configuration | None:
        if all(item.version != version for item in self.view.history):
            return None
        found = await self.log.read(self.stream, version - 1, 1)
        if not isinstance(found, EntryBatch) or not found.entries:
            return None
        return _decode_entry(found.entries[0])


def _decode_entry(entry: LogEntry) -> Configuration | None:
    envelope = decode_envelope(entry.record)
    if isinstance(envelope, BrokenRecord):
        return None
    for encoded in envelope.records:
        change = CONFIGURATION_SCHEMA.decode(encoded)
        if isinstance(change, ConfigurationPublished):
            return decode_body(change.format, change.body)
    return None
