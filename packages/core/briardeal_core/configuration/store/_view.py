"""The fold that decides which changes of configuration win."""

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
    known_since: int


class ConfigurationView:
    """The newest configuration on the log and the changes that led to it.

    Parameters
    ----------
    on_change
        Called after each change, won or lost, and after the state was replaced.

    Attributes
    ----------
    newest
        The change that won last.
    history
        The last changes, won and lost, oldest first.
    known_since
        Version in force before the first of them; what came earlier is not remembered.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.on_change = on_change
        self.newest: VersionedConfiguration | None = None
        self.history: deque[HistoryItem] = deque()
        self.known_since = 0

    @property
    def version(self) -> int:
        """The version that won last; 0 before the first."""
        return 0 if self.newest is None else self.newest.version

    def apply(self, item: StreamRecord) -> None:
        """Decide on the next change."""
        change = item.record
        if not isinstance(change, ConfigurationPublished):
            return
        won = change.expected_version in (None, self.version)
        if won:
            self.newest = _make_version(change, item)
        if change.expected_version is None:
            self._forget_history()
        self._remember(
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
        """Take over what a peer knows to be newest where the log has lost what led to it."""
        self.newest = newest
        self._forget_history()
        self.on_change()

    def find(self, change_id: str) -> HistoryItem | None:
        """Return what became of a change, if it is remembered; the first copy counts."""
        return next((item for item in self.history if item.change_id == change_id), None)

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        return msgspec.msgpack.encode(_State(self.newest, tuple(self.history), self.known_since))

    def restore(self, state: bytes) -> bool:
        """Replace the state by that of a snapshot."""
        try:
            restored = msgspec.msgpack.decode(state, type=_State)
        except msgspec.MsgspecError:
            return False
        self.newest = restored.newest
        self.history = deque(restored.history)
        self.known_since = restored.known_since
        self.on_change()
        return True

    def _forget_history(self) -> None:
        self.history.clear()
        self.known_since = self.version

    def _remember(self, item: HistoryItem) -> None:
        self.history.append(item)
        while len(self.history) > HISTORY_LIMIT:
            self.known_since = self.history.popleft().in_force


def _make_version(change: ConfigurationPublished, item: StreamRecord) -> VersionedConfiguration:
    return VersionedConfiguration(
        version=item.offset + 1,
        change_id=change.change_id,
        author=change.author,
        format=change.format,
        body=change.body,
        accepted_at_s=item.appended_at_s,
    )
