"""Configuration changes of this process whose outcome is not yet known."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration.store._outcomes import Accepted

if TYPE_CHECKING:
    from briardeal_core.configuration.store._records import VersionedConfiguration
    from briardeal_core.configuration.store._view import ConfigurationView


@attrs.frozen
class Superseded:
    """Another change won, so this change has no effect."""


@attrs.frozen(eq=False)
class PendingChange:
    """A configuration change that was sent to the log.

    Parameters
    ----------
    expected_version
        The version that the change replaces; `None` if it replaces any version.
    outcome
        Future for the outcome.
    """

    expected_version: int | None
    outcome: asyncio.Future[Accepted | Superseded]


class PendingChanges:
    """Resolves pending changes from the log or from versions sent by peers."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingChange] = {}

    def add(
        self, change_id: str, expected_version: int | None
    ) -> asyncio.Future[Accepted | Superseded]:
        """Register a change and return the future for its outcome."""
        outcome = asyncio.get_running_loop().create_future()
        self._pending[change_id] = PendingChange(expected_version, outcome)
        return outcome

    def discard(self, change_id: str) -> None:
        """Stop waiting for the outcome of a change."""
        self._pending.pop(change_id, None)

    def resolve_from_log(self, view: ConfigurationView) -> None:
        """Resolve the changes whose outcome follows from the records read from the log."""
        for change_id, pending in self._pending.items():
            if pending.outcome.done():
                continue
            item = view.find_change(change_id)
            if item is not None:
                lost = item.version is None
                pending.outcome.set_result(Superseded() if lost else Accepted(item.version))
            elif _is_superseded(pending, view):
                pending.outcome.set_result(Superseded())

    def resolve_from_peer(self, offered: VersionedConfiguration) -> None:
        """Resolve a change that a peer has read from the log as the winner."""
        pending = self._pending.get(offered.change_id)
        if pending is not None and not pending.outcome.done():
            pending.outcome.set_result(Accepted(offered.version))


def _is_superseded(pending: PendingChange, view: ConfigurationView) -> bool:
    """Return whether a change that was not read from the log can no longer win.

    This is certain only if the history contains every change since the expected version.
    """
    expected = pending.expected_version
    return expected is not None and view.history_start_version <= expected < view.version
