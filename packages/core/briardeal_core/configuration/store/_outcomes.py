"""Outcomes of a configuration change, and the status of the configuration."""

from __future__ import annotations

from dataclasses import dataclass

import attrs


@dataclass(frozen=True)
class Accepted:
    """The change has won and is in force.

    Parameters
    ----------
    version
        Version of the configuration after the change.
    """

    version: int


@dataclass(frozen=True)
class Conflict:
    """Another change was applied first; this change has no effect and never will.

    Parameters
    ----------
    version
        The version in force.
    author
        Author of the version in force.
    changes
        Differences between the expected version and the version in force, one sentence each; empty
        if one of them is not available.
    """

    version: int
    author: str
    changes: tuple[str, ...] = ()

    @property
    def message(self) -> str:
        """The error message for the author of this change."""
        first = f"Version {self.version} by {self.author} was applied first."
        return " ".join((first, *self.changes, "Read that version and apply your change to it."))


@attrs.frozen
class ConfigurationStatus:
    """Status of the configuration in force in one process.

    Parameters
    ----------
    version
        The version in force; 0 if there is none.
    author
        Author of the version.
    accepted_at_s
        When the log stored the version, in seconds since the epoch.
    age_s
        Time since `accepted_at_s`, in seconds.
    unconfirmed_s
        Time since this process last reached the end of the stream in the log, in seconds; `None`
        if it never did.
    unreadable_version
        A newer version that this program is too old to decode, or `None`.
    """

    version: int
    author: str
    accepted_at_s: float
    age_s: float
    unconfirmed_s: float | None
    unreadable_version: int | None
