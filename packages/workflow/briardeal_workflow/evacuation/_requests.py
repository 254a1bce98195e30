"""Requests of operators to evacuate failure domains, applied by the offsets of their records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

MAX_REMOVED = 1000
"""Number of removed requests whose offsets are remembered; more than there are failure domains."""


@attrs.define
class _Request:
    """Newest record of a domain: its offset, and whether it requests the evacuation."""

    offset: int
    in_force: bool


class EvacuationRequests:
    """Keeps the domains whose newest record requests their evacuation.

    Records may arrive out of order: a load of the newest records may show one that the log, read
    from the beginning of that load on, shows again after an earlier one.

    Parameters
    ----------
    on_change
        Called with all evacuated domains after each change.
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None]) -> None:
        self.on_change = on_change
        self._requests: dict[str, _Request] = {}

    @property
    def domains(self) -> frozenset[str]:
        """Failure domains that are evacuated now."""
        return frozenset(domain for domain, each in self._requests.items() if each.in_force)

    def apply(
        self, domain: str, offset: int, *, removed: bool = False, max_age_s: float | None = None
    ) -> None:
        """Apply a record, unless one with a higher offset has been applied for the domain.

        Parameters
        ----------
        domain, offset
            Failure domain that the record names, and the position of the record.
        removed
            Whether the record takes the domain back into use.
        max_age_s
            Upper limit of the age of the record, in seconds; `None` if it is not known.
        """
        known = self._requests.get(domain)
        if known is not None and offset <= known.offset:
            return
        was_in_force = known is not None and known.in_force
        self._requests[domain] = _Request(offset, not removed)
        if was_in_force is not removed:
            return
        if removed:
            log_event(
                Event.EVACUATION_ENDED, domain=domain, offset=offset, cause="its record was removed"
            )
            self._forget_oldest_removals()
        else:
            age_s = None if max_age_s is None else round(max_age_s, 3)
            log_event(Event.EVACUATION_IN_FORCE, domain=domain, offset=offset, max_age_s=age_s)
        self.on_change(self.domains)

    def complete_load(self, listed: Collection[str], end: int) -> None:
        """Drop the domains that a load of the newest records does not list.

        Parameters
        ----------
        listed
            Domains that the load has listed.
        end
            End of the topic when the load began. A record at or after it that the load did not list
            is read again from the log.
        """
        before = self.domains
        for domain, request in self._requests.items():
            if request.in_force and domain not in listed and request.offset < end:
                self._requests[domain] = _Request(end - 1, in_force=False)
                log_event(
                    Event.EVACUATION_ENDED,
                    domain=domain,
                    offset=request.offset,
                    cause="its record is no longer in the store",
                )
        self._forget_oldest_removals()
        if self.domains != before:
            self.on_change(self.domains)

    def _forget_oldest_removals(self) -> None:
        removed = [domain for domain, each in self._requests.items() if not each.in_force]
        removed.sort(key=lambda domain: self._requests[domain].offset)
        for domain in removed[: max(0, len(removed) - MAX_REMOVED)]:
            del self._requests[domain]
