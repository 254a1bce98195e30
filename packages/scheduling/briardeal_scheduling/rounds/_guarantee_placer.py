"""Placement of jobs on the VMs guaranteed to their customer."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING

from briardeal_scheduling.decisions import Cause
from briardeal_scheduling.placement import plan_preemptions

if TYPE_CHECKING:
    from briardeal_scheduling.guarantees import Booking
    from briardeal_scheduling.placement import PreemptionPlan
    from briardeal_scheduling.queue import Job
    from briardeal_scheduling.rounds._job_placer import JobPlacer
    from briardeal_scheduling.rounds._preemption_costs import PreemptionCosts
    from briardeal_scheduling.rounds._reservations import RoundReservations
    from briardeal_scheduling.rounds._state import SchedulerState

SWAP_CANDIDATES = 32
"""Most VMs examined to replace a booked one whose jobs have been preempted before."""


class GuaranteePlacer:
    """Places jobs on booked VMs and reclaims those that are lent to other jobs."""

    def __init__(
        self,
        state: SchedulerState,
        placer: JobPlacer,
        costs: PreemptionCosts,
        reservations: RoundReservations,
    ) -> None:
        self.state = state
        self.placer = placer
        self.costs = costs
        self.reservations = reservations

    def place(self, job: Job, now_s: float) -> bool:
        """Place a job on VMs booked for its customer; return whether there were enough."""
        booking = self.state.ledger.find_booking(job.request)
        if booking is None:
            return False
        plan = self._plan_in_booking(job, booking, now_s)
        if plan is None:
            return False
        if plan.victims:
            plan = self._swap_in_free_workers(job, booking, plan)
            plan = self._spare_preempted_jobs(job, booking, plan)
        self.state.ledger.assign_job(job.job_id, booking, tuple(plan.workers))
        cause = Cause.PREEMPTED_FOR_URGENT if job.urgent else Cause.PREEMPTED_FOR_GUARANTEE
        self.placer.place(job, plan.workers, Cause.STARTED_IN_GUARANTEE, plan.victims, cause)
        return True

    def _plan_in_booking(self, job: Job, booking: Booking, now_s: float) -> PreemptionPlan | None:
        avoided = self.state.avoided_workers(job, now_s)
        workers = [
            worker_id
            for worker_id in booking.unused_workers
            if worker_id not in avoided and self.state.fleet.workers[worker_id].usable
        ]
        if len(workers) < job.request.tasks:
            return None
        self._requeue_borrowers(workers)
        return self._plan_preemptions(job, workers)

    def _plan_preemptions(
        self, job: Job, workers: list[str], tasks: int | None = None
    ) -> PreemptionPlan | None:
        request = job.request
        tasks = request.tasks if tasks is None else tasks
        need = request.accelerators_per_task
        return plan_preemptions(self.state.fleet, workers, tasks, need, self.costs.for_guarantee)

    def _requeue_borrowers(self, workers: list[str]) -> None:
        """Requeue jobs outside guarantees that wait to borrow one of the VMs.

        Pinned jobs keep their VMs.
        """
        wanted = set(workers)
        for job in list(self.state.table.reclaiming.values()):
            outside = job.job_id not in self.state.ledger.guarantee_by_job
            if outside and not job.pinned and wanted & set(job.placement.workers):
                self.state.requeue(job)

    def _swap_in_free_workers(
        self, job: Job, booking: Booking, plan: PreemptionPlan
    ) -> PreemptionPlan:
        """Move a booking to free VMs where possible, so that fewer jobs are preempted."""
        fleet = self.state.fleet
        need = booking.guarantee.accelerators_per_vm
        closed = self.reservations.workers_closed_to(job)
        workers = list(plan.workers)
        for position, source in enumerate(workers):
            if fleet.workers[source].free_accelerators >= job.request.accelerators_per_task:
                continue
            group = fleet.groups[source][booking.guarantee.adjacency]
            targets = (
                vm for _, bucket in fleet.free_unbooked.ascending(group, need) for vm in bucket
            )
            target = next((vm for vm in targets if vm not in closed), None)
            if target and self.state.ledger.move_booking(fleet, booking, source, target):
                workers[position] = target
        return self._plan_preemptions(job, workers)

    def _spare_preempted_jobs(
        self, job: Job, booking: Booking, plan: PreemptionPlan
    ) -> PreemptionPlan:
        """Move a booking to a VM with cheaper victims if its own were preempted before.

        Otherwise the jobs that borrow this VM would be preempted each time.
        """
        jobs = self.state.table.jobs
        if not any(jobs[victim].lost_run_s for victim in plan.victims):
            return plan
        workers = list(plan.workers)
        for position, source in enumerate(workers):
            target = self._find_cheaper_worker(job, booking, source)
            if target and self.state.ledger.move_booking(self.state.fleet, booking, source, target):
                workers[position] = target
        return self._plan_preemptions(job, workers)

    def _find_cheaper_worker(self, job: Job, booking: Booking, source: str) -> str | None:
        """Return the VM without bookings where preemption costs least, if less than on `source`."""
        fleet = self.state.fleet
        group = fleet.groups[source][booking.guarantee.adjacency]
        closed = self.reservations.workers_closed_to(job)
        buckets = fleet.spare.ascending(group, booking.guarantee.accelerators_per_vm)
        candidates = list(
            islice(chain.from_iterable(bucket for _, bucket in buckets), SWAP_CANDIDATES)
        )
        fleet.spare.examined += len(candidates)
        best, lowest_cost = None, self._preemption_cost(job, source)
        for worker_id in candidates:
            if worker_id in closed or fleet.workers[worker_id].pending:
                continue
            cost = self._preemption_cost(job, worker_id)
            if cost < lowest_cost:
                best, lowest_cost = worker_id, cost
        return best

    def _preemption_cost(self, job: Job, worker_id: str) -> float:
        """Return the cost of clearing one VM for a task; infinity if that is forbidden."""
        plan = self._plan_preemptions(job, [worker_id], tasks=1)
        return float("inf") if plan is None else plan.cost
