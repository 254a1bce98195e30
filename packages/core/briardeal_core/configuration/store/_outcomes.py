"""Outcomes of a change of configuration."""

from __future__ import annotations

from dataclasses import dataclass

import attrs


@dataclass(frozen=True)
class Accepted:
    """The change has won and is in force from now on.

    Parameters
    ----------
    version
        Its version.
    """

    version: int


@dataclass(frozen=True)
class Conflict:
    """Another change came first; this one has no effect and never will.

    Parameters
    ----------
    version
        The version in force.
    author
        Who made it.
    changes
        What it changed, in sentences; empty where the version before is no longer known.
    """

    version: int
    author: str
    changes: tuple[str, ...] = ()

    @property
    def message(self) -> str:
        """The whole explanation."""
        made = f"Version {self.version} by {self.author} came first."
        return " ".join((made, *self.changes, "Read it and apply your change to it."))


@attrs.frozen
class ConfigurationStatus:
    """What a process has in force.

    Parameters
    ----------
    version
        The version in force; 0 for none.
    author
        Who made it.
    accepted_at_s
        When the log took it, in seconds since the epoch.
    age_s
        Seconds since then.
    unconfirmed_s
        Seconds since the log last showed that it is the newest; `None` if it never did.
    unreadable_version
        A newer version that this program is too old for, or `None`.
    """

    version: int
    author: str
    accepted_at_s: float
    age_s: float
    unconfirmed_s: float | None
    unreadable_version: int | None
