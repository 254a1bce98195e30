"""The configuration in force in one process."""

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
    """Holds the highest version that this process was ever shown.

    Attributes
    ----------
    newest
        The highest version shown, even where this program can't read it.
    readable
        The highest version that it can read.
    configuration
        That version, decoded; empty before the first.
    recent
        Versions that were in force lately, by number.
    """

    def __init__(self) -> None:
        self.newest: VersionedConfiguration | None = None
        self.readable: VersionedConfiguration | None = None
        self.configuration = Configuration()
        self.recent: dict[int, VersionedConfiguration] = {}
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """The highest version shown; 0 before the first."""
        return 0 if self.newest is None else self.newest.version

    def subscribe(self, listener: Listener) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, offered: VersionedConfiguration) -> bool:
        """Put a version into force if it is higher than any before; return whether it was."""
        if offered.version <= self.version:
            return False
        self.newest = offered
        self._remember(offered)
        configuration = offered.decode()
        if configuration is None:
            log_event(Event.CONFIGURATION_UNREADABLE, version=offered.version)
            return True
        self.readable = offered
        self.configuration = configuration
        log_event(Event.CONFIGURATION_IN_FORCE, version=offered.version, author=offered.author)
        for listener in self._listeners:
            listener(offered, configuration)
        return True

    def _remember(self, offered: VersionedConfiguration) -> None:
        self.recent[offered.version] = offered
        while len(self.recent) > RECENT_LIMIT:
            del self.recent[min(self.recent)]
