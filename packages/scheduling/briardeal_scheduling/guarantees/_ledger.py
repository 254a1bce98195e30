"""VMs booked for each guarantee, and the jobs that use them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Guarantee
from briardeal_scheduling.decisions import Placement
from briardeal_scheduling.guarantees._plan import (
    ADJACENCY_ORDER,
    GuaranteeDemand,
    GuaranteeKey,
    plan_bookings,
)

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest
    from briardeal_scheduling.fleet import Fleet, TopologyGroup
    from briardeal_scheduling.guarantees._plan import BookingPlan


@attrs.define(eq=False)
class Booking:
    """VMs booked for one guarantee.

    Attributes
    ----------
    job_by_worker
        The booked VMs, each with the job of the customer that uses it, or `None`.
    """

    key: GuaranteeKey
    guarantee: Guarantee
    job_by_worker: dict[str, str | None] = attrs.field(factory=dict)

    @property
    def unused_workers(self) -> list[str]:
        """Booked VMs that the customer does not use; they may be lent to other jobs."""
        return [worker_id for worker_id, job_id in self.job_by_worker.items() if job_id is None]

    @property
    def used_workers(self) -> dict[str, str]:
        """Booked VMs that the customer uses, each with the job."""
        return {worker_id: job_id for worker_id, job_id in self.job_by_worker.items() if job_id}


@attrs.frozen
class Shortfall:
    """A guarantee that has fewer VMs booked than it promises.

    Parameters
    ----------
    customer, job_class
        Customer and job class of the guarantee.
    guaranteed_vms, booked_vms
        Number of VMs that it promises, and number of VMs booked for it.
    """

    customer: str
    job_class: str
    guaranteed_vms: int
    booked_vms: int


@attrs.define(eq=False)
class GuaranteeLedger:
    """Bookings of all guarantees.

    Attributes
    ----------
    guarantee_by_job
        The guarantee that each job uses.
    all_met
        Whether every guarantee has all its VMs booked.
    margin_held
        Whether the guarantees can still be met after `margin_vms` VMs have failed.
    stale
        Whether the bookings must be planned again before the next decision.
    margin_stale
        Whether another plan might restore the margin.
    examined
        VMs examined by all plans, as a measure of their cost.
    fits_beside
        Cache: whether a pinned job fits beside all guarantees, by version of the VMs and shape.
    spare_needs
        Accelerators that a spare VM needs to replace any booked VM of a group.
    """

    bookings: dict[GuaranteeKey, Booking] = attrs.field(factory=dict)
    bookings_by_customer: dict[str, list[Booking]] = attrs.field(factory=dict)
    guarantee_by_job: dict[str, GuaranteeKey] = attrs.field(factory=dict)
    margin_vms: int = 0
    all_met: bool = True
    margin_held: bool = True
    stale: bool = False
    margin_stale: bool = False
    examined: int = 0
    fits_beside: dict[tuple[object, ...], bool] = attrs.field(factory=dict)
    spare_needs: dict[TopologyGroup, int] = attrs.field(factory=dict)

    def configure(self, configuration: Configuration) -> list[str]:
        """Apply new guarantees and return the jobs that no longer use one."""
        old = list(self.bookings.values())
        self.bookings = {}
        self.bookings_by_customer = defaultdict(list)
        self.margin_vms = configuration.failure_margin_vms
        for customer in configuration.customers:
            for position, guarantee in enumerate(customer.guarantees):
                key = GuaranteeKey(customer.name, position)
                self.bookings[key] = Booking(key, guarantee)
                self.bookings_by_customer[customer.name].append(self.bookings[key])
                _carry_over_jobs(old, self.bookings[key])
        before = set(self.guarantee_by_job)
        self.guarantee_by_job = {
            job_id: booking.key
            for booking in self.bookings.values()
            for job_id in booking.used_workers.values()
        }
        self.fits_beside.clear()
        self.stale = True
        return sorted(before - set(self.guarantee_by_job))

    def replan(self, fleet: Fleet) -> None:
        """Plan all bookings again."""
        plan = plan_bookings(
            self._bookable_capacities(fleet), fleet.groups, self._demands(), self.margin_vms
        )
        self.examined += plan.examined
        self._apply_plan(plan, fleet)

    def replan_to_fit(
        self, fleet: Fleet, request: JobRequest, allowed: frozenset[str]
    ) -> Placement | None:
        """Move bookings so that a job that can't be preempted can start now.

        Parameters
        ----------
        fleet
            The VMs.
        request
            The job.
        allowed
            VMs with enough free capacity for one of its tasks.

        Returns
        -------
        Placement or None
            VMs for the job; `None`, with nothing moved, if a guarantee or the margin would shrink.
        """
        job_shape = Guarantee(
            job_class=request.job_class,
            vms=request.tasks,
            accelerators_per_vm=request.accelerators_per_task,
            adjacency=request.adjacency,
        )
        job_demand = GuaranteeDemand(GuaranteeKey("", 0), job_shape, allowed=allowed)
        demands = [*self._demands(), job_demand]
        plan = plan_bookings(
            self._bookable_capacities(fleet), fleet.groups, demands, self.margin_vms
        )
        self.examined += plan.examined
        workers = plan.assignments.pop(job_demand.key)
        if len(workers) < request.tasks or not self._keeps_bookings(plan):
            return None
        self._apply_plan(plan, fleet)
        return Placement(tuple(workers), request.accelerators_per_task)

    def find_booking(self, request: JobRequest) -> Booking | None:
        """Return a booking of the customer with enough unused VMs for all tasks of the job."""
        if not request.accelerators_per_task:
            return None
        for booking in self.bookings_by_customer.get(request.customer, ()):
            fits = len(booking.unused_workers) >= request.tasks
            if fits and guarantee_covers(booking.guarantee, request):
                return booking
        return None

    def assign_job(self, job_id: str, booking: Booking, workers: tuple[str, ...]) -> None:
        """Record that a job uses booked VMs."""
        for worker_id in workers:
            booking.job_by_worker[worker_id] = job_id
        self.guarantee_by_job[job_id] = booking.key

    def release_job(self, job_id: str) -> None:
        """Record that a job no longer uses the VMs of a guarantee."""
        key = self.guarantee_by_job.pop(job_id, None)
        if key is None or key not in self.bookings:
            return
        users = self.bookings[key].job_by_worker
        for worker_id, user in users.items():
            if user == job_id:
                users[worker_id] = None

    def mark_capacity_freed(self) -> None:
        """Request a new plan if a guarantee or the margin is short, since capacity was freed."""
        if not self.all_met:
            self.stale = True
        elif not self.margin_held:
            self.margin_stale = True

    def replace_lost_worker(self, fleet: Fleet, worker_id: str) -> None:
        """Book another VM in place of one that is about to be removed."""
        for booking in self.bookings.values():
            if worker_id not in booking.job_by_worker:
                continue
            target = self._find_replacement(fleet, booking, worker_id)
            if target is None or not self.move_booking(fleet, booking, worker_id, target):
                del booking.job_by_worker[worker_id]
                self.stale = True
        if not self.stale and self.margin_vms:
            self.margin_held &= self._margin_survives_loss(fleet, worker_id)
            self.margin_stale |= not self.margin_held

    def move_booking(self, fleet: Fleet, booking: Booking, source: str, target: str) -> bool:
        """Move a booking to another VM and return whether that keeps group and margin."""
        need = booking.guarantee.accelerators_per_vm
        adjacency = booking.guarantee.adjacency
        if fleet.groups[source][adjacency] != fleet.groups[target][adjacency]:
            return False
        if target in booking.job_by_worker or fleet.workers[target].unbooked < need:
            return False
        adjacencies = (fleet.groups[source], fleet.groups[target])
        touched_groups = {group for groups in adjacencies for group in groups.values()}
        before = self._count_spares(fleet, touched_groups)
        self._swap_worker(fleet, booking, source, target)
        if self._spares_kept(fleet, touched_groups, before):
            return True
        self._swap_worker(fleet, booking, target, source)
        return False

    def allows_pinned(self, fleet: Fleet, placement: Placement) -> bool:
        """Return whether a pinned job can run there without reducing the failure margin."""
        if not self.margin_vms:
            return True
        touched_groups = {
            group for worker_id in placement.workers for group in fleet.groups[worker_id].values()
        }
        before = self._count_spares(fleet, touched_groups)
        fleet.count_pinned(placement)
        kept = self._spares_kept(fleet, touched_groups, before)
        fleet.count_pinned(placement, -1)
        return kept

    def shortfalls(self) -> list[Shortfall]:
        """Return the guarantees that have too few VMs booked."""
        return [
            Shortfall(
                booking.key.customer,
                booking.guarantee.job_class,
                booking.guarantee.vms,
                len(booking.job_by_worker),
            )
            for booking in self.bookings.values()
            if len(booking.job_by_worker) < booking.guarantee.vms
        ]

    def _demands(self) -> list[GuaranteeDemand]:
        return [
            GuaranteeDemand(booking.key, booking.guarantee, booking.used_workers)
            for booking in self.bookings.values()
        ]

    def _bookable_capacities(self, fleet: Fleet) -> dict[str, int]:
        """Return the accelerators of each VM that may be booked.

        Of a VM in quarantine, only those that a guarantee uses already.
        """
        capacities = {
            worker.worker_id: worker.accelerators - worker.pinned if worker.usable else 0
            for worker in fleet.workers.values()
        }
        for booking in self.bookings.values():
            for worker_id in booking.used_workers:
                if not fleet.workers[worker_id].usable:
                    capacities[worker_id] += booking.guarantee.accelerators_per_vm
        return capacities

    def _keeps_bookings(self, plan: BookingPlan) -> bool:
        kept = all(
            len(plan.assignments[key]) >= len(booking.job_by_worker)
            for key, booking in self.bookings.items()
        )
        return kept and (plan.margin_held or not self.margin_held)

    def _apply_plan(self, plan: BookingPlan, fleet: Fleet) -> None:
        booked: dict[str, int] = defaultdict(int)
        for key, workers in plan.assignments.items():
            booking = self.bookings[key]
            booking.job_by_worker = {
                worker_id: booking.job_by_worker.get(worker_id) for worker_id in workers
            }
            for worker_id in workers:
                booked[worker_id] += booking.guarantee.accelerators_per_vm
        for worker_id, worker in fleet.workers.items():
            if worker.booked != booked[worker_id]:
                worker.booked = booked[worker_id]
                fleet.refresh(worker_id)
        self.all_met = plan.all_met
        self.margin_held = plan.margin_held
        self.stale = False
        self.margin_stale = False
        self._update_spare_needs(fleet)

    def _update_spare_needs(self, fleet: Fleet) -> None:
        self.spare_needs = defaultdict(int)
        for booking in self.bookings.values():
            for worker_id in booking.job_by_worker:
                group = fleet.groups[worker_id][booking.guarantee.adjacency]
                self.spare_needs[group] = max(
                    self.spare_needs[group], fleet.workers[worker_id].booked
                )

    def _find_replacement(self, fleet: Fleet, booking: Booking, worker_id: str) -> str | None:
        need = booking.guarantee.accelerators_per_vm
        group = fleet.groups[worker_id][booking.guarantee.adjacency]
        for index in (fleet.free_unbooked, fleet.spare):
            for _, bucket in index.ascending(group, need):
                for target in bucket:
                    if target != worker_id and target not in booking.job_by_worker:
                        return target
        return None

    def _margin_survives_loss(self, fleet: Fleet, worker_id: str) -> bool:
        """Return whether each group has enough spare VMs after the loss of one VM."""
        lost = fleet.workers[worker_id]
        for group, need in self.spare_needs.items():
            is_spare = not lost.booked and lost.unbooked >= need
            in_group = is_spare and fleet.groups[worker_id][group.adjacency] == group
            if fleet.spare.count(group, need) - in_group < self.margin_vms:
                return False
        return True

    def _swap_worker(self, fleet: Fleet, booking: Booking, source: str, target: str) -> None:
        need = booking.guarantee.accelerators_per_vm
        del booking.job_by_worker[source]
        booking.job_by_worker[target] = None
        for worker_id, change in ((source, -need), (target, need)):
            fleet.workers[worker_id].booked += change
            fleet.refresh(worker_id)
        self._update_spare_needs(fleet)

    def _spares_kept(
        self,
        fleet: Fleet,
        touched_groups: set[TopologyGroup],
        before: dict[TopologyGroup, int],
    ) -> bool:
        """Return whether no group has lost a spare VM that the margin needs."""
        if not self.margin_vms:
            return True
        after = self._count_spares(fleet, touched_groups)
        return all(
            spares >= min(self.margin_vms, before.get(group, self.margin_vms))
            for group, spares in after.items()
        )

    def _count_spares(
        self, fleet: Fleet, touched_groups: set[TopologyGroup]
    ) -> dict[TopologyGroup, int]:
        if not self.margin_vms:
            return {}
        return {
            group: fleet.spare.count(group, self.spare_needs[group])
            for group in touched_groups & self.spare_needs.keys()
        }


def guarantee_covers(guarantee: Guarantee, request: JobRequest) -> bool:
    """Return whether a job may use a guarantee, by its class and shape."""
    close = ADJACENCY_ORDER.index(guarantee.adjacency) <= ADJACENCY_ORDER.index(request.adjacency)
    return (
        guarantee.job_class == request.job_class
        and guarantee.accelerators_per_vm >= request.accelerators_per_task
        and guarantee.vms >= request.tasks
        and (close or request.tasks == 1)
    )


def _carry_over_jobs(old: list[Booking], booking: Booking) -> None:
    guarantee = booking.guarantee
    for before in old:
        same = (
            before.key.customer == booking.key.customer
            and before.guarantee.job_class == guarantee.job_class
            and before.guarantee.accelerators_per_vm == guarantee.accelerators_per_vm
            and before.guarantee.adjacency == guarantee.adjacency
        )
        if same and len(before.used_workers) <= guarantee.vms:
            booking.job_by_worker.update(before.used_workers)
            old.remove(before)
            return
