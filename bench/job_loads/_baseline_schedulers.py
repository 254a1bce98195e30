"""Baseline schedulers: first in, first out, and backfill."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling import (
    Abandon,
    Failed,
    Placement,
    Preempt,
    PreemptMode,
    Start,
)
from briardeal_scheduling.fleet import Fleet
from briardeal_scheduling.placement import ResourceDemand, find_reservation

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling import Decision, Outcome

FAILURE_LIMIT = 3
"""Number of distinct VMs on which a job fails before it is abandoned."""


@attrs.define
class JobEntry:
    """A queued or running job of a baseline scheduler.

    Attributes
    ----------
    end_s
        Expected end of the current attempt by the declared run time, in seconds.
    placement
        VMs of the last attempt; `None` before the first start.
    failures
        Number of failures by VM.
    """

    request: JobRequest
    attempt: int = 0
    end_s: float = 0.0
    placement: Placement | None = None
    failures: Counter[str] = attrs.field(factory=Counter)


class FirstInFirstOut:
    """Starts jobs in the order of their submission, each on the first VMs that fit.

    It ignores guarantees, quotas and target times, and preempts nothing.
    """

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.queue: dict[str, JobEntry] = {}
        self.running: dict[str, JobEntry] = {}
        self.pending_decisions: list[Decision] = []

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Do nothing."""

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a VM."""
        self.fleet.add(shape)

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Remove a VM; requeue its idempotent jobs at the head, and abandon the others."""
        lost = list(self.fleet.workers[worker_id].tasks)
        for job_id in lost:
            requeue = self.running[job_id].request.idempotent
            self._vacate(job_id, requeue)
            if not requeue:
                self.pending_decisions.append(Abandon(job_id, "lost"))
        self.fleet.remove(worker_id)
        return lost

    def submit(self, request: JobRequest, now_s: float) -> None:
        """Queue a job."""
        self.queue[request.job_id] = JobEntry(request)

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Remove a job from the queue, or stop it if it runs."""
        if job_id in self.running:
            self.pending_decisions.append(Preempt(job_id, PreemptMode.STOP, "cancelled"))
        return self.queue.pop(job_id, None) is not None

    def report_started(self, job_id: str, now_s: float) -> None:
        """Do nothing."""

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Free the VMs of a job; after a failure, requeue it if idempotent and below the limit."""
        entry = self.running[job_id]
        if isinstance(outcome, Failed):
            entry.failures[outcome.worker_id] += 1
            self._vacate(job_id, requeue=entry.request.idempotent)
            if not entry.request.idempotent or len(entry.failures) >= FAILURE_LIMIT:
                self.queue.pop(job_id, None)
                self.pending_decisions.append(Abandon(job_id, "failed"))
            return
        self._vacate(job_id, requeue=False)

    def report_usage(self, job_id: str, run_s: float, observed_s: float, now_s: float) -> None:
        """Do nothing."""

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Do nothing."""

    def next_decision_s(self, now_s: float) -> float:
        """Return infinity: decisions depend on events only, not on time."""
        return float("inf")

    def decide(self, now_s: float) -> list[Decision]:
        """Start jobs from the head of the queue until one does not fit."""
        decisions, self.pending_decisions = self.pending_decisions, []
        for entry in list(self.queue.values()):
            workers = self._find_first_fit(entry)
            if workers is None:
                break
            decisions.append(self._start(entry, workers, now_s))
        return decisions

    def _find_first_fit(
        self, entry: JobEntry, excluded: frozenset[str] = frozenset()
    ) -> list[str] | None:
        need = ResourceDemand.from_request(entry.request)
        fleet = self.fleet
        index = fleet.free if entry.request.accelerators_per_task else fleet.slots
        for group in index.groups_by_adjacency.get(need.adjacency, ()):
            if index.count(group, need.per_vm) < need.tasks:
                continue
            fitting = sorted(
                vm
                for _, bucket in index.ascending(group, need.per_vm)
                for vm in bucket
                if vm not in excluded and vm not in entry.failures
            )
            if len(fitting) >= need.tasks:
                return fitting[: need.tasks]
        return None

    def _start(self, entry: JobEntry, workers: list[str], now_s: float) -> Start:
        request = entry.request
        entry.attempt += 1
        entry.end_s = now_s + request.declared_run_s
        entry.placement = Placement(tuple(workers), request.accelerators_per_task)
        del self.queue[request.job_id]
        self.running[request.job_id] = entry
        self.fleet.occupy(request.job_id, entry.placement, pinned=False)
        return Start(request.job_id, entry.attempt, entry.placement, "first fit")

    def _vacate(self, job_id: str, requeue: bool) -> None:
        entry = self.running.pop(job_id)
        self.fleet.vacate(job_id, entry.placement, pinned=False)
        if requeue:
            self.queue = {job_id: entry, **self.queue}


class Backfill(FirstInFirstOut):
    """Starts jobs out of order if, by the declared run times, they don't delay the first."""

    def decide(self, now_s: float) -> list[Decision]:
        """Start jobs that fit, and reserve VMs for the first job that does not."""
        decisions, self.pending_decisions = self.pending_decisions, []
        reserved_vms: frozenset[str] = frozenset()
        reserved_until_s = None
        unplaceable: set[tuple] = set()
        for entry in list(self.queue.values()):
            need = ResourceDemand.from_request(entry.request)
            ends_in_time = (
                reserved_until_s is None or now_s + entry.request.declared_run_s <= reserved_until_s
            )
            key = (need, entry.request.accelerators_per_task, ends_in_time)
            if key in unplaceable:
                continue
            workers = self._find_first_fit(entry, frozenset() if ends_in_time else reserved_vms)
            if workers is not None:
                decisions.append(self._start(entry, workers, now_s))
                continue
            if not entry.failures:
                unplaceable.add(key)
            if reserved_until_s is None and entry.request.accelerators_per_task:
                reservation = find_reservation(self.fleet, need, self._declared_end_s(now_s), now_s)
                reserved_vms, reserved_until_s = (
                    (reservation.workers, reservation.free_at_s)
                    if reservation
                    else (reserved_vms, None)
                )
        return decisions

    def _declared_end_s(self, now_s: float):
        return lambda job_id: max(now_s, self.running[job_id].end_s)
