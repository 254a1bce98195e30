"""Simple schedulers to compare with: first in, first out, and plain backfill."""

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


@attrs.define
class Entry:
    """A job in the queue of a baseline."""

    request: JobRequest
    attempt: int = 0
    end_s: float = 0.0
    placement: Placement | None = None
    failures: Counter[str] = attrs.field(factory=Counter)


class FirstInFirstOut:
    """Starts jobs in the order in which they came, each on the first VMs that fit.

    Guarantees, quotas and targets are not looked at, and nothing is preempted.
    """

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.queue: dict[str, Entry] = {}
        self.running: dict[str, Entry] = {}
        self.orders: list[Decision] = []

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Do nothing."""

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a VM."""
        self.fleet.add(shape)

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Take out a VM and put its jobs back to the head of the queue."""
        lost = list(self.fleet.workers[worker_id].tasks)
        for job_id in lost:
            again = self.running[job_id].request.idempotent
            self._vacate(job_id, again)
            if not again:
                self.orders.append(Abandon(job_id, "lost"))
        self.fleet.remove(worker_id)
        return lost

    def submit(self, request: JobRequest, now_s: float) -> None:
        """Queue a job."""
        self.queue[request.job_id] = Entry(request)

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Take a job out of the queue, or stop it."""
        if job_id in self.running:
            self.orders.append(Preempt(job_id, PreemptMode.STOP, "cancelled"))
        return self.queue.pop(job_id, None) is not None

    def report_started(self, job_id: str, now_s: float) -> None:
        """Do nothing."""

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Take a job off its VMs, and queue it again where it failed on one of few."""
        entry = self.running[job_id]
        if isinstance(outcome, Failed):
            entry.failures[outcome.worker_id] += 1
            self._vacate(job_id, again=entry.request.idempotent)
            if not entry.request.idempotent or len(entry.failures) >= FAILURE_LIMIT:
                self.queue.pop(job_id, None)
                self.orders.append(Abandon(job_id, "failed"))
            return
        self._vacate(job_id, again=False)

    def report_usage(self, job_id: str, run_s: float, observed_s: float, now_s: float) -> None:
        """Do nothing."""

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Do nothing."""

    def next_decision_s(self, now_s: float) -> float:
        """Return infinity: only events change anything."""
        return float("inf")

    def decide(self, now_s: float) -> list[Decision]:
        """Start jobs from the head of the queue until one does not fit."""
        decisions, self.orders = self.orders, []
        for entry in list(self.queue.values()):
            workers = self._first_fit(entry)
            if workers is None:
                break
            decisions.append(self._start(entry, workers, now_s))
        return decisions

    def _first_fit(self, entry: Entry, avoid: frozenset[str] = frozenset()) -> list[str] | None:
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
                if vm not in avoid and vm not in entry.failures
            )
            if len(fitting) >= need.tasks:
                return fitting[: need.tasks]
        return None

    def _start(self, entry: Entry, workers: list[str], now_s: float) -> Start:
        request = entry.request
        entry.attempt += 1
        entry.end_s = now_s + request.declared_run_s
        entry.placement = Placement(tuple(workers), request.accelerators_per_task)
        del self.queue[request.job_id]
        self.running[request.job_id] = entry
        self.fleet.occupy(request.job_id, entry.placement, pinned=False)
        return Start(request.job_id, entry.attempt, entry.placement, "first fit")

    def _vacate(self, job_id: str, again: bool) -> None:
        entry = self.running.pop(job_id)
        self.fleet.vacate(job_id, entry.placement, pinned=False)
        if again:
            self.queue = {job_id: entry, **self.queue}


class Backfill(FirstInFirstOut):
    """Lets jobs pass the head of the queue that, as declared, do not delay it."""

    def decide(self, now_s: float) -> list[Decision]:
        """Start what fits, with VMs kept for the first job that does not."""
        decisions, self.orders = self.orders, []
        kept: frozenset[str] = frozenset()
        kept_until_s = None
        no_room: set[tuple] = set()
        for entry in list(self.queue.values()):
            need = ResourceDemand.from_request(entry.request)
            early = kept_until_s is None or now_s + entry.request.declared_run_s <= kept_until_s
            key = (need, entry.request.accelerators_per_task, early)
            if key in no_room:
                continue
            workers = self._first_fit(entry, frozenset() if early else kept)
            if workers is not None:
                decisions.append(self._start(entry, workers, now_s))
                continue
            if not entry.failures:
                no_room.add(key)
            if kept_until_s is None and entry.request.accelerators_per_task:
                reservation = find_reservation(self.fleet, need, self._declared_end_s(now_s), now_s)
                kept, kept_until_s = (
                    (reservation.workers, reservation.free_at_s) if reservation else (kept, None)
                )
        return decisions

    def _declared_end_s(self, now_s: float):
        return lambda job_id: max(now_s, self.running[job_id].end_s)
