"""One scheduling round."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_scheduling.decisions import Cause, Placement
from briardeal_scheduling.placement import (
    ResourceDemand,
    choose_workers,
    fits_idle_vms,
    has_capacity,
    plan_preemptions_in_any_group,
)
from briardeal_scheduling.queue import order_key
from briardeal_scheduling.rounds._guarantee_placer import GuaranteePlacer
from briardeal_scheduling.rounds._job_placer import JobPlacer
from briardeal_scheduling.rounds._preemption_costs import PreemptionCosts
from briardeal_scheduling.rounds._reservations import RoundReservations

if TYPE_CHECKING:
    from briardeal_scheduling.decisions import Decision
    from briardeal_scheduling.fleet import CapacityIndex
    from briardeal_scheduling.placement import PreemptionPlan
    from briardeal_scheduling.queue import Job
    from briardeal_scheduling.rounds._state import SchedulerState

MARGIN_REPLAN_INTERVAL_S = 60.0
"""Time between plans of the bookings that try to restore the failure margin, in seconds."""

BOOKING_MOVE_INTERVAL_S = 1.0
"""Time between attempts to move bookings for a job that can't be preempted, in seconds."""

GANG_MIN_ACCELERATORS = 4
"""Smallest number of accelerators of a gang for which other jobs are preempted."""

GANG_PREEMPTION_LIMIT = 10
"""Most gangs for which preemptions are planned in one round."""

GANG_PREEMPTION_INTERVAL_S = 60.0
"""Time between attempts to preempt others for the same gang, in seconds."""

MAX_LOST_SHARE = 0.05
"""Highest cost of preemptions for a gang, as a share of its remaining accelerator seconds."""


class SchedulingRound:
    """Schedules the waiting jobs at one point in time.

    Parameters
    ----------
    state
        State of the scheduler, updated with every decision.
    now_s
        Current time, in seconds.

    Attributes
    ----------
    unplaceable
        Demands that found no VMs in this round, with the index and the VMs closed to them.
    unplaceable_gangs
        Shortest remaining run time, in seconds, of a gang for which no preemptions were found, by
        its demand and whether it would be pinned.
    over_quota
        Customers of whom a job exceeded the quota; their later jobs with accelerators wait.
    fits_live_vms
        Whether a demand fits on the VMs that are up if nothing else runs.
    gangs_tried
        Gangs for which preemptions were planned.
    """

    def __init__(self, state: SchedulerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.placer = JobPlacer(state, now_s)
        self.costs = PreemptionCosts(state, now_s)
        self.reservations = RoundReservations(state, now_s)
        self.guarantee_placer = GuaranteePlacer(state, self.placer, self.costs, self.reservations)
        self.unplaceable: set[tuple[object, ...]] = set()
        self.unplaceable_gangs: dict[tuple[ResourceDemand, bool], float] = {}
        self.over_quota: set[str] = set()
        self.fits_live_vms: dict[ResourceDemand, bool] = {}
        self.gangs_tried = 0

    def run(self) -> list[Decision]:
        """Run the round and return its decisions."""
        self._start_worker_trials()
        if self._plan_due():
            self._replan()
        self.placer.stop_slow_checkpoints()
        self.placer.start_reclaimed()
        for job in self._ready_jobs():
            self._schedule_job(job)
        return self.placer.decisions

    def _start_worker_trials(self) -> None:
        for worker_id in self.state.failure_tracker.start_due_trials(self.now_s):
            self.state.fleet.set_usable(worker_id, usable=True)
            self.state.ledger.stale = True

    def _plan_due(self) -> bool:
        ledger = self.state.ledger
        interval_over = self.now_s - self.state.planned_at_s >= MARGIN_REPLAN_INTERVAL_S
        return ledger.stale or (ledger.margin_stale and interval_over)

    def _replan(self) -> None:
        """Plan the bookings again.

        If a guarantee is not met, pinned jobs that still wait for their VMs are requeued.
        """
        ledger = self.state.ledger
        self.state.planned_at_s = self.now_s
        ledger.replan(self.state.fleet)
        if ledger.all_met:
            return
        for job in list(self.state.table.reclaiming.values()):
            if job.pinned:
                self.state.requeue(job)
                ledger.stale = True
        if ledger.stale:
            ledger.replan(self.state.fleet)

    def _ready_jobs(self) -> list[Job]:
        ready = []
        for job in self.state.table.waiting.values():
            if job.retry_at_s > self.now_s:
                self._record_retry_wait(job)
                continue
            ready.append((order_key(job, self.state.predict_run_time(job, self.now_s)), job))
        ready.sort(key=lambda pair: pair[0])
        return [job for _, job in ready]

    def _schedule_job(self, job: Job) -> None:
        """Start a job, preempt others for it, or record why it waits."""
        if not self._within_quota(job):
            return
        if self.guarantee_placer.place(job, self.now_s) or self._start_on_free_vms(job):
            return
        if self._preempt_for_urgent(job) or self._preempt_for_gang(job):
            return
        self._reserve_or_wait(job)

    def _within_quota(self, job: Job) -> bool:
        if not job.accelerators:
            return True
        name = job.request.customer
        customer = self.state.customers.get(name)
        quota = customer.quota_accelerators if customer else None
        quota_used = self.state.table.quota_used[name]
        if quota is None or (
            name not in self.over_quota and quota_used + job.accelerators <= quota
        ):
            return True
        self.over_quota.add(name)
        job.record.add(
            self.now_s, Cause.WAITS_FOR_QUOTA, customer=name, held=quota_used, quota=quota
        )
        return False

    def _start_on_free_vms(self, job: Job) -> bool:
        fleet = self.state.fleet
        need = ResourceDemand.from_request(job.request)
        index = self._capacity_index_for(job)
        avoided = self.state.avoided_workers(job, self.now_s)
        closed_workers = self._closed_workers(job)
        key = (need, id(index), frozenset(closed_workers))
        if not avoided and key in self.unplaceable:
            return False
        workers = choose_workers(fleet, index, need, avoided | closed_workers)
        if workers is None:
            if not avoided:
                self.unplaceable.add(key)
            return self._move_bookings_for(job, need, avoided | closed_workers)
        placement = Placement(tuple(workers), job.request.accelerators_per_task)
        if _would_be_pinned(job) and not self.state.ledger.allows_pinned(fleet, placement):
            return self._move_bookings_for(job, need, avoided | closed_workers)
        ahead = self.reservations.workers.intersection(workers)
        cause = Cause.STARTED_AHEAD_OF_HOLE if ahead else Cause.STARTED_ON_FREE
        self.placer.place(job, workers, cause)
        return True

    def _move_bookings_for(self, job: Job, need: ResourceDemand, avoid: set[str]) -> bool:
        """Move bookings so that a job that can't be preempted can start."""
        fleet = self.state.fleet
        if (
            not _would_be_pinned(job)
            or self.now_s - self.state.bookings_moved_at_s < BOOKING_MOVE_INTERVAL_S
        ):
            return False
        if not has_capacity(fleet.free, need):
            return False
        self.state.bookings_moved_at_s = self.now_s
        free = fleet.free.capacities.items()
        allowed = {vm for vm, capacity in free if capacity >= need.per_vm} - avoid
        placement = self.state.ledger.replan_to_fit(fleet, job.request, frozenset(allowed))
        if placement is None:
            return False
        self.placer.place(job, placement.workers, Cause.STARTED_ON_FREE)
        return True

    def _preempt_for_urgent(self, job: Job) -> bool:
        """Preempt the jobs that lose least work for an urgent job outside a guarantee."""
        if not job.urgent or not job.accelerators:
            return False
        plan = plan_preemptions_in_any_group(
            self.state.fleet,
            ResourceDemand.from_request(job.request),
            self.costs.for_urgent,
            self.state.avoided_workers(job, self.now_s),
            unbooked=_would_be_pinned(job),
        )
        return self._place_after_preemption(job, plan, Cause.PREEMPTED_FOR_URGENT)

    def _preempt_for_gang(self, job: Job) -> bool:
        """Preempt jobs that are smaller than a gang or have much longer to run."""
        need = ResourceDemand.from_request(job.request)
        if job.accelerators < GANG_MIN_ACCELERATORS or self.gangs_tried >= GANG_PREEMPTION_LIMIT:
            return False
        if self.now_s - job.preemption_tried_s < GANG_PREEMPTION_INTERVAL_S:
            return False
        prediction = self.state.predict_run_time(job, self.now_s)
        remaining_s = prediction.remaining_s(job.saved_run_s)
        key = (need, _would_be_pinned(job))
        if remaining_s >= self.unplaceable_gangs.get(key, math.inf):
            return False
        self.gangs_tried += 1
        job.preemption_tried_s = self.now_s
        plan = plan_preemptions_in_any_group(
            self.state.fleet,
            need,
            lambda job_id: self.costs.for_gang(job_id, job, remaining_s),
            self.state.avoided_workers(job, self.now_s) | self._closed_workers(job),
            unbooked=_would_be_pinned(job),
        )
        if plan is None:
            self.unplaceable_gangs[key] = remaining_s
            return False
        if plan.cost > MAX_LOST_SHARE * remaining_s * job.accelerators:
            return False
        return self._place_after_preemption(job, plan, Cause.PREEMPTED_FOR_TARGET)

    def _place_after_preemption(
        self, job: Job, plan: PreemptionPlan | None, preemption_cause: Cause
    ) -> bool:
        if plan is None:
            return False
        placement = Placement(tuple(plan.workers), job.request.accelerators_per_task)
        if _would_be_pinned(job) and not self.state.ledger.allows_pinned(
            self.state.fleet, placement
        ):
            return False
        cause = Cause.STARTED_ON_FREE
        self.placer.place(job, placement.workers, cause, plan.victims, preemption_cause)
        return True

    def _reserve_or_wait(self, job: Job) -> None:
        """Reserve VMs for a job, or record why it waits."""
        reservation = self.reservations.reserve(job)
        if reservation is None:
            job.record.add(self.now_s, self._waiting_cause(job))
            return
        vms = job.request.tasks
        job.record.add(
            self.now_s,
            Cause.WAITS_FOR_HOLE,
            reservation.free_at_s,
            vms=vms,
            place=reservation.place,
        )

    def _waiting_cause(self, job: Job) -> Cause:
        fleet = self.state.fleet
        need = ResourceDemand.from_request(job.request)
        if has_capacity(
            self._capacity_index_for(job), need
        ) and self.reservations.workers_closed_to(job):
            return Cause.WAITS_BEHIND_HOLE
        if _would_be_pinned(job) and has_capacity(fleet.free, need):
            return Cause.WAITS_FOR_GUARANTEES
        if fleet.lost_shapes and not self._fits_live_vms(job):
            return Cause.WAITS_FOR_WORKERS
        return Cause.WAITS_FOR_ROOM

    def _fits_live_vms(self, job: Job) -> bool:
        key = ResourceDemand.from_request(job.request)
        if key not in self.fits_live_vms:
            shapes = (worker.shape for worker in self.state.fleet.workers.values())
            self.fits_live_vms[key] = fits_idle_vms(shapes, job.request)
        return self.fits_live_vms[key]

    def _record_retry_wait(self, job: Job) -> None:
        failed_on = sorted(self.state.failure_tracker.failed_workers(job.job_id))
        if failed_on:
            cause = Cause.WAITS_AFTER_FAILURE
            job.record.add(self.now_s, cause, job.retry_at_s, worker=failed_on[-1])

    def _closed_workers(self, job: Job) -> set[str]:
        return self.reservations.workers_closed_to(job) | self.state.trial_workers_closed_to(job)

    def _capacity_index_for(self, job: Job) -> CapacityIndex:
        fleet = self.state.fleet
        if not job.request.accelerators_per_task:
            return fleet.slots
        return fleet.free_unbooked if _would_be_pinned(job) else fleet.free


def _would_be_pinned(job: Job) -> bool:
    """Return whether a job needs accelerators and can't be preempted."""
    return bool(job.accelerators) and not job.preemptible
