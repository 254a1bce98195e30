"""Evacuated failure domains, and whether they are known well enough to start tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_workflow.model import PlannerTiming
    from briardeal_workflow.store import Follower

UNREAD_SHARE = 0.5
"""Share of the time promised for evacuations after which the known requests are too old to start
tasks. The rest covers the orders that have been sent before, and their execution."""


class EvacuatedDomains:
    """The domains that an entry knows as evacuated, and how current that is.

    Parameters
    ----------
    timing
        Times that the platform promises; by default, none for evacuations.

    Attributes
    ----------
    domains
        Failure domains in which no task may start.
    reader
        Reader of the operators' requests; `None` if the deployment has no such requests.
    """

    def __init__(self, timing: PlannerTiming | None = None) -> None:
        bound_s = None if timing is None else timing.evacuation_s
        self.max_age_s = None if bound_s is None else UNREAD_SHARE * bound_s
        self.domains: frozenset[str] = frozenset()
        self.reader: Follower | None = None

    @property
    def unread_cause(self) -> str:
        """Why no task may start because of unread requests; empty if tasks may start."""
        if self.reader is None:
            return ""
        if not self.reader.caught_up.is_set():
            return "not read yet"
        if self.max_age_s is not None and self.reader.age_s > self.max_age_s:
            return "not readable"
        return ""

    @property
    def permit_starts(self) -> bool:
        """Whether the requests are known well enough to start tasks outside of the domains."""
        return not self.unread_cause
