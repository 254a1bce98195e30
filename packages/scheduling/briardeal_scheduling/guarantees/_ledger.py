"""What is set aside for each guarantee, and which jobs use it."""

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
    """The VMs of one guarantee.

    Attributes
    ----------
    slots
        Its VMs, each with the job of its customer that uses it, or `None`.
    """

    key: GuaranteeKey
    guarantee: Guarantee
    job_by_worker: dict[str, str | None] = attrs.field(factory=dict)

    @property
    def unused_workers(self) -> list[str]:
        """VMs that its customer does not use."""
        return [worker_id for worker_id, job_id in self.job_by_worker.items() if job_id is None]

    @property
    def used_workers(self) -> dict[str, str]:
        """VMs that its customer uses, with the job."""
        return {worker_id: job_id for worker_id, job_id in self.job_by_worker.items() if job_id}


@attrs.frozen
class Shortfall:
    """A guarantee that does not hold at the moment.

    Parameters
    ----------
    customer, job_class
        Whose guarantee, and for which class.
    wanted_vms, held_vms
        VMs of the guarantee, and those that it can have.
    """

    customer: str
    job_class: str
    guaranteed_vms: int
    booked_vms: int


@attrs.define(eq=False)
class GuaranteeLedger:
    """All bookings.

    Attributes
    ----------
    by_job
        The guarantee that each job uses.
    whole
        Whether every guarantee holds.
    margin_held
        Whether the guarantees also hold after failures within the margin.
    stale
        Whether the bookings must be planned again before the next decision.
    margin_stale
        Whether another plan might bring the margin back.
    examined
        VMs looked at in all plans, for measuring their cost.
    admitted
        Whether work of a shape fits beside all guarantees, by the shape and the set of VMs.
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
        """Take over new guarantees and return the jobs that no longer run under one."""
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
        """Move bookings so that work which can't be preempted may start now.

        Parameters
        ----------
        fleet
            The VMs.
        request
            The work.
        allowed
            VMs that are free enough for it.

        Returns
        -------
        Placement or None
            Where it may start; `None`, with nothing moved, where that takes from a guarantee.
        """
        shape = Guarantee(
            job_class=request.job_class,
            vms=request.tasks,
            accelerators_per_vm=request.accelerators_per_task,
            adjacency=request.adjacency,
        )
        in_group = GuaranteeDemand(GuaranteeKey("", 0), shape, allowed=allowed)
        demands = [*self._demands(), in_group]
        plan = plan_bookings(
            self._bookable_capacities(fleet), fleet.groups, demands, self.margin_vms
        )
        self.examined += plan.examined
        workers = plan.assignments.pop(in_group.key)
        if len(workers) < request.tasks or not self._keeps_bookings(plan):
            return None
        self._apply_plan(plan, fleet)
        return Placement(tuple(workers), request.accelerators_per_task)

    def find_booking(self, request: JobRequest) -> Booking | None:
        """Return a guarantee of the job's customer with room for the whole job."""
        if not request.accelerators_per_task:
            return None
        for booking in self.bookings_by_customer.get(request.customer, ()):
            fits = len(booking.unused_workers) >= request.tasks
            if fits and guarantee_covers(booking.guarantee, request):
                return booking
        return None

    def assign_job(self, job_id: str, booking: Booking, workers: tuple[str, ...]) -> None:
        """Let a job use VMs of a guarantee."""
        for worker_id in workers:
            booking.job_by_worker[worker_id] = job_id
        self.guarantee_by_job[job_id] = booking.key

    def release_job(self, job_id: str) -> None:
        """Give back the VMs of a guarantee that a job used."""
        key = self.guarantee_by_job.pop(job_id, None)
        if key is None or key not in self.bookings:
            return
        users = self.bookings[key].job_by_worker
        for worker_id, user in users.items():
            if user == job_id:
                users[worker_id] = None

    def mark_capacity_freed(self) -> None:
        """Note that work left, or a VM came, so that more of the guarantees may hold."""
        if not self.all_met:
            self.stale = True
        elif not self.margin_held:
            self.margin_stale = True

    def replace_lost_worker(self, fleet: Fleet, worker_id: str) -> None:
        """Set other VMs aside in place of one that is about to go."""
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
        """Set another VM aside in place of one that is lent, where nothing else changes."""
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
        """Return whether pinned work may go there without using up the failure margin."""
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
        """Return the guarantees that do not hold."""
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
        """Return what guarantees may take of each VM; of one set aside, only what they use."""
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
        """Return whether enough spare VMs are left in each group once a VM is gone."""
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
        """Return whether no touched group has lost a spare VM that it needs."""
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
    """Return whether a guarantee is for work of such a shape."""
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
