"""Changes of this process whose outcome is not yet known."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration.store._outcomes import Accepted

if TYPE_CHECKING:
    from briardeal_core.configuration.store._records import VersionedConfiguration
    from briardeal_core.configuration.store._view import ConfigurationView


@attrs.frozen
class Lost:
    """The change came second to another."""


@attrs.frozen(eq=False)
class PendingChange:
    """A change that was sent to the log.

    Parameters
    ----------
    expected_version
        The version that it replaces; `None` where it replaces any.
    verdict
        Where the outcome goes.
    """

    expected_version: int | None
    verdict: asyncio.Future[Accepted | Lost]


class PendingChanges:
    """Settles changes by what is read back."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingChange] = {}

    def add(self, change_id: str, expected_version: int | None) -> asyncio.Future[Accepted | Lost]:
        """Return a future for the outcome of a change."""
        verdict = asyncio.get_running_loop().create_future()
        self._pending[change_id] = PendingChange(expected_version, verdict)
        return verdict

    def discard(self, change_id: str) -> None:
        """Wait no longer for a change."""
        self._pending.pop(change_id, None)

    def settle_read(self, view: ConfigurationView) -> None:
        """Settle what the log has decided."""
        for change_id, pending in self._pending.items():
            if pending.verdict.done():
                continue
            item = view.find(change_id)
            if item is not None:
                lost = item.version is None
                pending.verdict.set_result(Lost() if lost else Accepted(item.version))
            elif _is_overtaken(pending, view):
                pending.verdict.set_result(Lost())

    def settle_offered(self, offered: VersionedConfiguration) -> None:
        """Settle a change that a peer has read back."""
        pending = self._pending.get(offered.change_id)
        if pending is not None and not pending.verdict.done():
            pending.verdict.set_result(Accepted(offered.version))


def _is_overtaken(pending: PendingChange, view: ConfigurationView) -> bool:
    """Return whether a change that the log has not shown can't win any more.

    That is certain only where every change since the expected version is remembered.
    """
    expected = pending.expected_version
    return expected is not None and view.known_since <= expected < view.version
