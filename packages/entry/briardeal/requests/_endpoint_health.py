"""Failure rates of endpoints, and ejection of those that fail too often."""

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
"""Time without an outcome in which the failure rate halves, in seconds."""

OUTCOMES_MIN = 3
"""Fewest outcomes before an endpoint may be ejected."""

FAILURE_EXCESS_MIN = 0.3
"""Least excess of an endpoint's failure rate over the median of the others for ejection."""

EJECTED_SHARE_MAX = 0.5
"""Largest share of a service's endpoints that may be ejected at once."""

EJECTION_MIN_S = 2.0
EJECTION_MAX_S = 120.0
"""Limits of the duration of an ejection, before jitter, in seconds; it doubles each time."""

EJECTION_RESET_S = 300.0
"""Time without ejection after which earlier ejections no longer prolong the next, in seconds."""

IDLE_LIMIT_S = 900.0
"""Time without a request after which an endpoint's record is removed, in seconds."""


class HealthState(enum.Enum):
    """Whether an endpoint receives requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBE = "probe"
    """The endpoint is ejected, but may receive one request to show whether it has recovered."""


@attrs.define
class EndpointRecord:
    """Failure rate and ejections of one incarnation of an endpoint.

    Parameters
    ----------
    failure_rate
        Share of failures, as a moving average in which the newest outcomes weigh most.
    outcomes
        Number of outcomes since the last ejection ended.
    ejections
        Number of ejections that prolong the next one.
    ejected_until_s
        When it may be probed, on the event loop's clock; `None` while it is not ejected.
    healthy_since_s
        Start of the newest period without ejection, on the event loop's clock.
    probing
        Whether a probe is in progress.
    last_begun_s, last_outcome_s
        When a request last began, and when one last had an outcome, on the event loop's clock.
    """

    failure_rate: float = 0.0
    outcomes: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    healthy_since_s: float = 0.0
    probing: bool = False
    last_begun_s: float = 0.0
    last_outcome_s: float = 0.0


class EndpointHealth:
    """Failure rates and ejections of all endpoints, as this entry observed them.

    An endpoint is ejected only if it fails more often than the others, so that requests that
    fail everywhere eject none. It is probed with one request at a time, after a delay that
    doubles with each failed probe.

    Parameters
    ----------
    now_s
        Returns the event loop's time in seconds.
    rng
        Random number generator for jitter.
    """

    def __init__(self, now_s: Callable[[], float], rng: random.Random) -> None:
        self.now_s = now_s
        self.rng = rng
        self.records: dict[str, EndpointRecord] = {}

    def state(self, name: str) -> HealthState:
        """Return whether an endpoint is healthy, ejected or due for a probe."""
        record = self.records.get(name)
        if record is None or record.ejected_until_s is None:
            return HealthState.HEALTHY
        if record.probing or self.now_s() < record.ejected_until_s:
            return HealthState.EJECTED
        return HealthState.PROBE

    def failure_rate(self, name: str) -> float:
        """Return the failure rate of an endpoint, which decays while it has no outcomes."""
        record = self.records.get(name)
        if record is None:
            return 0.0
        idle_s = self.now_s() - record.last_outcome_s
        return record.failure_rate * 0.5 ** (idle_s / FAILURE_HALF_LIFE_S)

    def begin_request(self, name: str) -> None:
        """Record that a request to an endpoint begins."""
        record = self._find_or_add_record(name)
        record.last_begun_s = self.now_s()
        if record.ejected_until_s is not None:
            record.probing = True

    def cancel_request(self, name: str) -> None:
        """Record that a request ended without evidence about the endpoint."""
        self._find_or_add_record(name).probing = False

    def record_outcome(self, name: str, failed: bool, peers: Iterable[str]) -> bool:
        """Record the outcome of a request; return whether the endpoint was ejected as a result."""
        record = self._find_or_add_record(name)
        failure_rate = self.failure_rate(name)
        record.outcomes += 1
        record.failure_rate = failure_rate + FAILURE_WEIGHT * (failed - failure_rate)
        record.last_outcome_s = self.now_s()
        if record.probing:
            return self._finish_probe(record, failed)
        if not failed or record.ejected_until_s is not None:
            return False
        if not self._is_outlier(record, [peer for peer in peers if peer != name]):
            return False
        self._eject(record)
        return True

    def remove_idle(self) -> None:
        """Remove the records of endpoints without requests for `IDLE_LIMIT_S` seconds."""
        oldest_s = self.now_s() - IDLE_LIMIT_S
        for name in [name for name, r in self.records.items() if r.last_begun_s <= oldest_s]:
            del self.records[name]

    def _find_or_add_record(self, name: str) -> EndpointRecord:
        return self.records.setdefault(name, EndpointRecord(healthy_since_s=self.now_s()))

    def _finish_probe(self, record: EndpointRecord, failed: bool) -> bool:
        record.probing = False
        if failed:
            self._eject(record)
            return True
        record.ejected_until_s = None
        record.healthy_since_s = self.now_s()
        record.failure_rate = 0.0
        record.outcomes = 0
        return False

    def _is_outlier(self, record: EndpointRecord, peers: list[str]) -> bool:
        if not peers or record.outcomes < OUTCOMES_MIN:
            return False
        ejected = sum(self.state(peer) is not HealthState.HEALTHY for peer in peers)
        if ejected + 1 > EJECTED_SHARE_MAX * (len(peers) + 1):
            return False
        rates = sorted(self.failure_rate(peer) for peer in peers)
        median = rates[len(rates) // 2]
        return record.failure_rate - median >= FAILURE_EXCESS_MIN

    def _eject(self, record: EndpointRecord) -> None:
        now_s = self.now_s()
        if record.ejected_until_s is None and now_s - record.healthy_since_s >= EJECTION_RESET_S:
            record.ejections = 0
        ejection_s = min(EJECTION_MIN_S * 2**record.ejections, EJECTION_MAX_S)
        record.ejections += 1
        record.ejected_until_s = now_s + ejection_s * self.rng.uniform(0.8, 1.2)
