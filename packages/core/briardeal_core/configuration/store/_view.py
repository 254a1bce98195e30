"""View of the log that decides which configuration changes win."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.configuration.store._records import (
    ConfigurationPublished,
    HistoryItem,
    VersionedConfiguration,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_core.log import StreamRecord

HISTORY_LIMIT = 200


class _State(msgspec.Struct, frozen=True, array_like=True):
    newest: VersionedConfiguration | None
    history: tuple[HistoryItem, ...]
    history_start_version: int


class ConfigurationView:
    """The newest configuration in the log and the recent changes.

    Parameters
    ----------
    on_change
        Function that is called after each change, whether it won or lost, and after the state was
        replaced.

    Attributes
    ----------
    newest
        The last change that won.
    history
        The last changes, whether they won or lost, oldest first.
    history_start_version
        Version in force before the first change in `history`; earlier changes are not recorded.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.on_change = on_change
        self.newest: VersionedConfiguration | None = None
        self.history: deque[HistoryItem] = deque()
        self.history_start_version = 0

    @property
    def version(self) -> int:
        """The last version that won; 0 before the first."""
        return 0 if self.newest is None else self.newest.version

    def apply(self, item: StreamRecord) -> None:
        """Decide whether the next change wins and add it to the history."""
        change = item.record
        if not isinstance(change, ConfigurationPublished):
            return
        won = change.expected_version in (None, self.version)
        if won:
            self.newest = _make_version(change, item)
        if change.expected_version is None:
            self._clear_history()
        self._append_to_history(
            HistoryItem(
                change_id=change.change_id,
                author=change.author,
                expected_version=change.expected_version,
                version=self.version if won else None,
                in_force=self.version,
                appended_at_s=item.appended_at_s,
            )
        )
        self.on_change()

    def adopt(self, newest: VersionedConfiguration) -> None:
        """Take over the newest version from a peer after the log has lost the earlier changes."""
        self.newest = newest
        self._clear_history()
        self.on_change()

    def find_change(self, change_id: str) -> HistoryItem | None:
        """Return the first entry of a change in the history, or `None`."""
        return next((item for item in self.history if item.change_id == change_id), None)

    def dump(self) -> bytes:
        """Encode the state for a snapshot."""
        return msgspec.msgpack.encode(
            _State(self.newest, tuple(self.history), self.history_start_version)
        )

    def restore(self, state: bytes) -> bool:
        """Replace the state with that of a snapshot; return whether it could be decoded."""
        try:
            restored = msgspec.msgpack.decode(state, type=_State)
        except msgspec.MsgspecError:
            return False
        self.newest = restored.newest
        self.history = deque(restored.history)
        self.history_start_version = restored.history_start_version
        self.on_change()
        return True

    def _clear_history(self) -> None:
        self.history.clear()
        self.history_start_version = self.version

    def _append_to_history(self, item: HistoryItem) -> None:
        self.history.append(item)
        while len(self.history) > HISTORY_LIMIT:
            self.history_start_version = self.history.popleft().in_force


def _make_version(change: ConfigurationPublished, item: StreamRecord) -> VersionedConfiguration:
    return VersionedConfiguration(
        version=item.offset + 1,
        change_id=change.change_id,
        author=change.author,
        format=change.format,
        body=change.body,
        accepted_at_s=item.appended_at_s,
    )
