"""The configuration that is in force in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.configuration._model import Configuration
from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_core.configuration.store._records import VersionedConfiguration

    Listener = Callable[[VersionedConfiguration, Configuration], None]

RECENT_LIMIT = 20


class ConfigurationInForce:
    """Holds the highest version that this process has received from the log or a peer.

    Attributes
    ----------
    newest
        The highest version received, even if this program can't decode it.
    newest_readable
        The highest version received that this program can decode.
    configuration
        The decoded configuration of `newest_readable`; empty before the first version.
    recent
        The last versions that came into force, by version number.
    """

    def __init__(self) -> None:
        self.newest: VersionedConfiguration | None = None
        self.newest_readable: VersionedConfiguration | None = None
        self.configuration = Configuration()
        self.recent: dict[int, VersionedConfiguration] = {}
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """The highest version received; 0 before the first."""
        return 0 if self.newest is None else self.newest.version

    def subscribe(self, listener: Listener) -> None:
        """Register a function that is called with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, offered: VersionedConfiguration) -> bool:
        """Put a version into force if it is higher than all before; return whether it was."""
        if offered.version <= self.version:
            return False
        self.newest = offered
        self._add_recent(offered)
        configuration = offered.decode()
        if configuration is None:
            log_event(Event.CONFIGURATION_UNREADABLE, version=offered.version)
            return True
        self.newest_readable = offered
        self.configuration = configuration
        log_event(Event.CONFIGURATION_IN_FORCE, version=offered.version, author=offered.author)
        for listener in self._listeners:
            listener(offered, configuration)
        return True

    def _add_recent(self, offered: VersionedConfiguration) -> None:
        self.recent[offered.version] = offered
        while len(self.recent) > RECENT_LIMIT:
            del self.recent[min(self.recent)]
