"""Evidence on endpoints that fail, and their ejection from routing."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the failure rate."""

FAILURE_HALF_LIFE_S = 5.0
"""Time without a request in which the failure rate halves."""

EVIDENCE_MIN = 3
"""Fewest outcomes that an endpoint is judged by."""

EXCESS_MIN = 0.3
"""By how much an endpoint must fail more often than the others to be taken out."""

EJECTED_SHARE_MAX = 0.5
"""Largest share of a service's endpoints that is out at once."""

EJECTION_MIN_S = 2.0
EJECTION_MAX_S = 120.0
CALM_S = 300.0
"""Time in use without ejection after which earlier ejections no longer count."""

FORGET_AFTER_S = 900.0
"""Time without a request after which an endpoint is forgotten."""


class HealthState(enum.Enum):
    """Whether an endpoint takes part in routing."""

    IN = "in"
    OUT = "out"
    PROBE = "probe"
    """It may be given one request to show whether it has recovered."""


@attrs.define
class Record:
    """Outcomes of one incarnation of an endpoint.

    Parameters
    ----------
    failure_rate
        Share of failures, newest outcomes weighing most.
    outcomes
        Number of outcomes since it was last taken in.
    ejections
        Times that it was taken out in a row.
    out_until_s
        Until when it is out, on the loop's clock; `None` while it is in.
    in_since_s
        Since when it is in, on the loop's clock.
    probing
        Whether a probe is under way.
    sent_s, ended_s
        When it was last sent a request, and when one last ended, on the loop's clock.
    """

    failure_rate: float = 0.0
    outcomes: int = 0
    ejections: int = 0
    out_until_s: float | None = None
    in_since_s: float = 0.0
    probing: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0


class EndpointHealth:
    """Outcomes of all endpoints, as this entry saw them.

    An endpoint is taken out only when it fails more often than the others, so that requests that
    fail everywhere take none out. It is tried again with one request at a time, after a time that
    doubles with each failed probe.

    Parameters
    ----------
    now_s
        Clock of the loop.
    rng
        Source of jitter.
    """

    def __init__(self, now_s: Callable[[], float], rng: random.Random) -> None:
        self.now_s = now_s
        self.rng = rng
        self.records: dict[str, Record] = {}

    def standing(self, name: str) -> HealthState:
        """Return whether an endpoint takes part in routing."""
        record = self.records.get(name)
        if record is None or record.out_until_s is None:
            return HealthState.IN
        if record.probing or self.now_s() < record.out_until_s:
            return HealthState.OUT
        return HealthState.PROBE

    def failure_rate(self, name: str) -> float:
        """Return the share of failures of an endpoint, which halves while it is sent nothing."""
        record = self.records.get(name)
        if record is None:
            return 0.0
        idle_s = self.now_s() - record.ended_s
        return record.failure_rate * 0.5 ** (idle_s / FAILURE_HALF_LIFE_S)

    def begin(self, name: str) -> None:
        """Take note that a request is being sent to an endpoint."""
        record = self._record(name)
        record.sent_s = self.now_s()
        if record.out_until_s is not None:
            record.probing = True

    def cancel(self, name: str) -> None:
        """Take note that the request told nothing of the endpoint."""
        self._record(name).probing = False

    def finish(self, name: str, failed: bool, peers: Iterable[str]) -> bool:
        """Take the outcome of a request; return whether the endpoint was taken out now."""
        record = self._record(name)
        failure_rate = self.failure_rate(name)
        record.outcomes += 1
        record.failure_rate = failure_rate + FAILURE_WEIGHT * (failed - failure_rate)
        record.ended_s = self.now_s()
        if record.probing:
            return self._finish_probe(record, failed)
        if not failed or record.out_until_s is not None:
            return False
        if not self._is_outlier(record, [peer for peer in peers if peer != name]):
            return False
        self._eject(record)
        return True

    def forget_idle(self) -> None:
        """Forget endpoints that were sent nothing for long."""
        oldest_s = self.now_s() - FORGET_AFTER_S
        for name in [name for name, r in self.records.items() if r.sent_s <= oldest_s]:
            del self.records[name]

    def _record(self, name: str) -> Record:
        return self.records.setdefault(name, Record(in_since_s=self.now_s()))

    def _finish_probe(self, record: Record, failed: bool) -> bool:
        record.probing = False
        if failed:
            self._eject(record)
            return True
        record.out_until_s = None
        record.in_since_s = self.now_s()
        record.failure_rate = 0.0
        record.outcomes = 0
        return False

    def _is_outlier(self, record: Record, peers: list[str]) -> bool:
        if not peers or record.outcomes < EVIDENCE_MIN:
            return False
        out = sum(self.standing(peer) is not HealthState.IN for peer in peers)
        if out + 1 > EJECTED_SHARE_MAX * (len(peers) + 1):
            return False
        rates = sorted(self.failure_rate(peer) for peer in peers)
        median = rates[len(rates) // 2]
        return record.failure_rate - median >= EXCESS_MIN

    def _eject(self, record: Record) -> None:
        now_s = self.now_s()
        if record.out_until_s is None and now_s - record.in_since_s >= CALM_S:
            record.ejections = 0
        out_s = min(EJECTION_MIN_S * 2**record.ejections, EJECTION_MAX_S)
        record.ejections += 1
        record.out_until_s = now_s + out_s * self.rng.uniform(0.8, 1.2)
