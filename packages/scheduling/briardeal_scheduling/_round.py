"""One decision round."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.decisions import Cause, Placement, Preempt, PreemptMode, Start
from briardeal_scheduling.placement import (
    Need,
    choose_workers,
    find_hole,
    open_room,
    open_room_anywhere,
)
from briardeal_scheduling.queue import Hole, JobPhase, due_s, order_key

if TYPE_CHECKING:
    from briardeal_scheduling._state import State
    from briardeal_scheduling.decisions import Decision
    from briardeal_scheduling.fleet import CapacityIndex
    from briardeal_scheduling.guarantees import Booking
    from briardeal_scheduling.placement import Opening
    from briardeal_scheduling.queue import Job

RECLAIM_LIMIT_S = 60.0
"""Time for work to write its checkpoint when a guarantee is asked for."""

URGENT_RESERVE_S = 0.4
"""Part of the target for an urgent start that is left for stopping and starting."""

MARGIN_RETRY_S = 60.0
"""Time until the guarantees are planned again to bring the failure margin back."""

GANG_ACCELERATORS = 4
"""Accelerators from which a job counts as a gang that others make room for."""

LEAST_RUN_S = 300.0
"""Time for which work runs before it has to make room for a gang."""

LONGER_FACTOR = 3.0
"""How much longer work of the same size must have left to make room for a gang."""

GANGS_TRIED_LIMIT = 3
"""Gangs for which others may be asked to make room in one round."""

MOST_LOST_SHARE = 0.05
"""Most that may be lost to make room for a gang, as a part of its own work."""

HOLE_LIMIT = 2
"""Jobs that VMs are kept for at a time."""

HOLE_TTL_S = 600.0
"""How long kept VMs stay the same while better ones may have come up."""


class Round:
    """The decisions of one moment.

    Parameters
    ----------
    state
        What they are taken from, and where they are noted.
    now_s
        The time now, in seconds.
    """

    def __init__(self, state: State, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.decisions: list[Decision] = []
        self.holes: list[tuple[str, Hole]] = []
        self.no_room: set[tuple[object, ...]] = set()
        self.over_quota: set[str] = set()
        self.replanned = False
        self.preempting: Job | None = None
        self.preempting_due_s = 0.0
        self.preempting_longest_s = 0.0
        self.gangs_tried = 0

    def run(self) -> list[Decision]:
        """Take and return all decisions."""
        self._try_set_aside_workers()
        if self._plan_due():
            self._replan()
        self._stop_slow_checkpoints()
        self._start_opened()
        for job in self._in_order():
            self._serve(job)
        return self.decisions

    def _try_set_aside_workers(self) -> None:
        for worker_id in self.state.evidence.due_for_trial(self.now_s):
            self.state.fleet.set_usable(worker_id, usable=True)
            self.state.ledger.stale = True

    def _plan_due(self) -> bool:
        ledger = self.state.ledger
        waited = self.now_s - self.state.planned_s >= MARGIN_RETRY_S
        return ledger.stale or (ledger.margin_stale and waited)

    def _replan(self) -> None:
        """Plan the guarantees again; no job may wait for VMs that they are short of."""
        ledger = self.state.ledger
        self.state.planned_s = self.now_s
        ledger.replan(self.state.fleet)
        if ledger.whole:
            return
        for job in list(self.state.table.opening.values()):
            if job.pins:
                self.state.requeue(job)
                ledger.stale = True
        if ledger.stale:
            ledger.replan(self.state.fleet)

    def _stop_slow_checkpoints(self) -> None:
        for job in list(self.state.table.leaving.values()):
            if job.leaving is PreemptMode.CHECKPOINT and job.leave_by_s <= self.now_s:
                self._order_leave(job, PreemptMode.STOP, math.inf, Cause.CHECKPOINT_TOO_SLOW)

    def _start_opened(self) -> None:
        workers = self.state.fleet.workers
        for job in list(self.state.table.opening.values()):
            if all(workers[worker_id].balance >= 0 for worker_id in job.placement.workers):
                self.state.fill(job)
                self._start(job, Cause.STARTED_AFTER_RECLAIM)

    def _in_order(self) -> list[Job]:
        ready = []
        for job in self.state.table.waiting.values():
            if job.retry_at_s > self.now_s:
                self._note_retry(job)
                continue
            prediction = self.state.predict(job, self.now_s)
            ready.append((order_key(job, prediction), job))
        ready.sort(key=lambda pair: pair[0])
        return [job for _, job in ready]

    def _serve(self, job: Job) -> None:
        """Start a job, make room for it, or note what it waits for."""
        if not self._within_quota(job):
            return
        if self._claim_guarantee(job) or self._start_on_free(job):
            return
        if self._preempt_for_urgent(job) or self._preempt_smaller(job):
            return
        self._keep_hole(job)

    def _within_quota(self, job: Job) -> bool:
        if not job.accelerators:
            return True
        name = job.request.customer
        customer = self.state.customers.get(name)
        quota = customer.quota_accelerators if customer else None
        held = self.state.table.held[name]
        if quota is None or (name not in self.over_quota and held + job.accelerators <= quota):
            return True
        self.over_quota.add(name)
        self._note(job, Cause.WAITS_FOR_QUOTA, customer=name, held=held, quota=quota)
        return False

    def _claim_guarantee(self, job: Job) -> bool:
        booking = self.state.ledger.booking_for(job.request)
        if booking is None:
            return False
        opening = self._open_booking(job, booking)
        if opening is None:
            return False
        if opening.victims:
            opening = self._move_booking(job, booking, opening)
        workers = tuple(opening.workers)
        self.state.ledger.claim(job.job_id, booking, workers)
        cause = Cause.PREEMPTED_FOR_URGENT if job.urgent else Cause.PREEMPTED_FOR_GUARANTEE
        self._open(job, workers, opening.victims, Cause.STARTED_IN_GUARANTEE, cause)
        return True

    def _open_booking(self, job: Job, booking: Booking) -> Opening | None:
        request = job.request
        failed_on = self.state.avoided(job, self.now_s)
        workers = [
            worker_id
            for worker_id in booking.unclaimed
            if worker_id not in failed_on and self.state.fleet.workers[worker_id].usable
        ]
        if len(workers) < request.tasks:
            return None
        self._drop_holds(workers)
        return open_room(
            self.state.fleet,
            workers,
            request.tasks,
            request.accelerators_per_task,
            self._reclaim_cost,
        )

    def _drop_holds(self, workers: list[str]) -> None:
        """Let jobs outside guarantees wait again that wait for room in a guarantee."""
        wanted = set(workers)
        for job in list(self.state.table.opening.values()):
            outside = job.job_id not in self.state.ledger.by_job
            if outside and not job.pins and wanted & set(job.placement.workers):
                self.state.requeue(job)

    def _move_booking(self, job: Job, booking: Booking, opening: Opening) -> Opening:
        """Take free VMs into a guarantee in place of those that others would have to leave."""
        fleet = self.state.fleet
        need = booking.guarantee.accelerators_per_vm
        adjacency = booking.guarantee.adjacency
        held = self._held_workers(job)
        workers = list(opening.workers)
        for position, source in enumerate(workers):
            if fleet.workers[source].balance >= job.request.accelerators_per_task:
                continue
            group = fleet.groups[source][adjacency]
            targets = (vm for _, bucket in fleet.room.ascending(group, need) for vm in bucket)
            target = next((vm for vm in targets if vm not in held), None)
            if target and self.state.ledger.move(fleet, booking, source, target):
                workers[position] = target
        return open_room(
            fleet, workers, len(workers), job.request.accelerators_per_task, self._reclaim_cost
        )

    def _reclaim_cost(self, job_id: str) -> float | None:
        """Return what it costs to take lent VMs back from a job, in accelerator seconds."""
        job = self.state.table.jobs[job_id]
        lent = job.preemptible and job_id not in self.state.ledger.by_job
        if not lent or job.leaving:
            return None
        return job.unsaved_s(self.now_s) * job.accelerators

    def _start_on_free(self, job: Job) -> bool:
        need = Need.of(job.request)
        index = self._index_for(job)
        failed_on = self.state.avoided(job, self.now_s)
        held = self._held_workers(job)
        key = (need, id(index), frozenset(held) if held else None)
        if not failed_on and key in self.no_room:
            return False
        workers = choose_workers(self.state.fleet, index, need, failed_on | held)
        if workers is None:
            self.no_room.add(key)
            return index is self.state.fleet.room and self._replan_for_pinned(job, need, held)
        placement = Placement(tuple(workers), job.request.accelerators_per_task)
        if self._pins(job) and not self.state.ledger.allows_pinned(self.state.fleet, placement):
            return self._replan_for_pinned(job, need, held)
        kept = {vm for _, hole in self.holes for vm in hole.workers}
        ahead = kept.intersection(workers)
        self._open(
            job,
            placement.workers,
            frozenset(),
            Cause.STARTED_AHEAD_OF_HOLE if ahead else Cause.STARTED_ON_FREE,
            Cause.PREEMPTED_FOR_TARGET,
        )
        return True

    def _replan_for_pinned(self, job: Job, need: Need, held: set[str]) -> bool:
        """Move bookings so that work which can't be preempted may start, once in a round."""
        if self.replanned:
            return False
        fleet = self.state.fleet
        avoid = self.state.avoided(job, self.now_s) | held
        if choose_workers(fleet, fleet.free, need, avoid) is None:
            return False
        self.replanned = True
        free = fleet.free.numbers.items()
        allowed = {vm for vm, number in free if number >= need.number} - avoid
        placement = self.state.ledger.replan_beside(fleet, job.request, frozenset(allowed))
        if placement is None:
            return False
        self._open(
            job,
            placement.workers,
            frozenset(),
            Cause.STARTED_ON_FREE,
            Cause.PREEMPTED_FOR_TARGET,
        )
        return True

    def _preempt_for_urgent(self, job: Job) -> bool:
        if not job.urgent or not job.accelerators:
            return False
        pins = self._pins(job)
        opening = open_room_anywhere(
            self.state.fleet,
            Need.of(job.request),
            self._urgent_cost,
            self.state.avoided(job, self.now_s),
            unbooked=pins,
        )
        if opening is None:
            return False
        placement = Placement(tuple(opening.workers), job.request.accelerators_per_task)
        if pins and not self.state.ledger.allows_pinned(self.state.fleet, placement):
            return False
        self._open(
            job,
            placement.workers,
            opening.victims,
            Cause.STARTED_ON_FREE,
            Cause.PREEMPTED_FOR_URGENT,
        )
        return True

    def _preempt_smaller(self, job: Job) -> bool:
        """Make room for a gang by stopping smaller work, which finds room elsewhere sooner."""
        if job.request.tasks * job.request.accelerators_per_task < GANG_ACCELERATORS:
            return False
        if self.gangs_tried >= GANGS_TRIED_LIMIT:
            return False
        self.gangs_tried += 1
        prediction = self.state.predict(job, self.now_s)
        self.preempting = job
        self.preempting_due_s = due_s(job, prediction)
        self.preempting_longest_s = LONGER_FACTOR * prediction.remaining_s(job.kept_s)
        pins = self._pins(job)
        opening = open_room_anywhere(
            self.state.fleet,
            Need.of(job.request),
            self._smaller_cost,
            self.state.avoided(job, self.now_s) | self._held_workers(job),
            unbooked=pins,
        )
        if opening is None or opening.cost > MOST_LOST_SHARE * self._work(job):
            return False
        placement = Placement(tuple(opening.workers), job.request.accelerators_per_task)
        if pins and not self.state.ledger.allows_pinned(self.state.fleet, placement):
            return False
        self._open(
            job,
            placement.workers,
            opening.victims,
            Cause.STARTED_ON_FREE,
            Cause.PREEMPTED_FOR_TARGET,
        )
        return True

    def _work(self, job: Job) -> float:
        """Return the work that a job is expected to have left, in accelerator seconds."""
        prediction = self.state.predict(job, self.now_s)
        return prediction.remaining_s(job.kept_s) * job.accelerators

    def _smaller_cost(self, job_id: str) -> float | None:
        victim = self.state.table.jobs[job_id]
        lent = victim.preemptible and job_id not in self.state.ledger.by_job
        if not lent or victim.leaving or victim.urgent or victim.phase is not JobPhase.RUNNING:
            return None
        prediction = self.state.predict(victim, self.now_s)
        if due_s(victim, prediction) <= self.preempting_due_s:
            return None
        smaller = victim.accelerators < self.preempting.accelerators
        longer = prediction.remaining_s(victim.elapsed_s(self.now_s)) > self.preempting_longest_s
        if not smaller and not longer:
            return None
        if self.now_s - victim.started_s < LEAST_RUN_S:
            return None
        request = victim.request
        checkpoint_s = self.state.history.checkpoint_s(request.customer, request.job_class)
        return min(RECLAIM_LIMIT_S, checkpoint_s) * victim.accelerators

    def _urgent_cost(self, job_id: str) -> float | None:
        if self.state.table.jobs[job_id].urgent:
            return None
        return self._reclaim_cost(job_id)

    def _keep_hole(self, job: Job) -> None:
        """Keep VMs for a job, or note what else it waits for."""
        if not job.accelerators or len(self.holes) >= HOLE_LIMIT:
            self._note_no_room(job)
            return
        hole = job.hole
        if hole is None or self.now_s - hole.made_s > HOLE_TTL_S:
            kept = {vm for _, hole in self.holes for vm in hole.workers}
            hole = find_hole(
                self.state.fleet,
                Need.of(job.request),
                self._expected_end_s,
                self.now_s,
                kept | self.state.avoided(job, self.now_s),
                unbooked=self._pins(job),
            )
        job.hole = hole
        if hole is None:
            self._note_no_room(job)
            return
        self.holes.append((job.job_id, hole))
        until_s = max(hole.at_s, self.now_s)
        vms = job.request.tasks
        job.record.add(self.now_s, Cause.WAITS_FOR_HOLE, until_s, vms=vms, place=hole.place)

    def _expected_end_s(self, job_id: str) -> float:
        job = self.state.table.jobs[job_id]
        if job.leaving:
            return self.now_s
        prediction = self.state.predict(job, self.now_s)
        return self.now_s + prediction.remaining_s(job.elapsed_s(self.now_s))

    def _held_workers(self, job: Job) -> set[str]:
        """Return VMs kept for other jobs that this one would not leave in time."""
        if not self.holes or self._yields(job):
            return set()
        prediction = self.state.predict(job, self.now_s)
        end_s = self.now_s + prediction.remaining_high_s(job.kept_s)
        return {vm for _, hole in self.holes if end_s > hole.at_s for vm in hole.workers}

    def _yields(self, job: Job) -> bool:
        """Return whether a job can leave again when a larger one is to start."""
        return job.preemptible

    def _index_for(self, job: Job) -> CapacityIndex:
        fleet = self.state.fleet
        if not job.request.accelerators_per_task:
            return fleet.slots
        return fleet.room if self._pins(job) else fleet.free

    def _pins(self, job: Job) -> bool:
        return bool(job.accelerators) and not job.preemptible

    def _open(
        self,
        job: Job,
        workers: tuple[str, ...],
        victims: frozenset[str],
        started: Cause,
        preempted: Cause,
    ) -> None:
        """Start a job on its VMs, or keep them for it until others have left."""
        fleet = self.state.fleet
        accelerators = job.request.accelerators_per_task
        placement = Placement(workers, accelerators)
        if all(fleet.workers[vm].balance >= accelerators for vm in workers):
            self.state.occupy(job, placement)
            self._start(job, started)
            return
        limit_s = self._leave_limit_s(job)
        for job_id in sorted(victims):
            self._preempt(self.state.table.jobs[job_id], job, limit_s, preempted)
        self.state.hold(job, placement)
        until_s = self.now_s + limit_s
        job.record.add(self.now_s, Cause.WAITS_FOR_RECLAIM, until_s, victims=len(victims))

    def _leave_limit_s(self, job: Job) -> float:
        if not job.urgent:
            return RECLAIM_LIMIT_S
        left_s = job.accepted_s + job.job_class.start_within_s - self.now_s
        return max(0.0, left_s - URGENT_RESERVE_S)

    def _preempt(self, victim: Job, job: Job, limit_s: float, cause: Cause) -> None:
        request = victim.request
        checkpoint_s = self.state.history.checkpoint_s(request.customer, request.job_class)
        in_time = checkpoint_s <= limit_s or not job.urgent
        mode = PreemptMode.CHECKPOINT if in_time else PreemptMode.STOP
        leave_by_s = self.now_s + limit_s if in_time else math.inf
        self._order_leave(victim, mode, leave_by_s, cause, customer=job.request.customer)

    def _order_leave(
        self, job: Job, mode: PreemptMode, leave_by_s: float, cause: Cause, **fields: object
    ) -> None:
        if job.leaving is None:
            job.left_at_s = self.now_s
            self.state.fleet.leave(job.placement)
        job.leaving = mode
        job.leave_by_s = leave_by_s
        self.state.table.file(job)
        entry = job.record.add(self.now_s, cause, **fields)
        self.decisions.append(Preempt(job.job_id, mode, entry.say(self.now_s)))

    def _start(self, job: Job, cause: Cause) -> None:
        job.phase = JobPhase.STARTING
        job.attempt += 1
        job.hole = None
        self.state.table.file(job)
        first = job.placement.workers[0]
        place = self.state.fleet.groups[first][Adjacency.RACK].path
        entry = job.record.add(
            self.now_s,
            cause,
            vms=len(job.placement.workers),
            place=place,
            customer=job.request.customer,
        )
        explanation = entry.say(self.now_s)
        self.decisions.append(Start(job.job_id, job.attempt, job.placement, explanation))

    def _note_no_room(self, job: Job) -> None:
        need = Need.of(job.request)
        fleet = self.state.fleet
        if self._pins(job) and choose_workers(fleet, fleet.free, need):
            self._note(job, Cause.WAITS_FOR_GUARANTEES)
        elif self.holes and self._held_workers(job):
            self._note(job, Cause.WAITS_BEHIND_HOLE)
        else:
            self._note(job, Cause.WAITS_FOR_ROOM)

    def _note_retry(self, job: Job) -> None:
        failed_on = sorted(self.state.evidence.failed_on(job.job_id))
        if failed_on:
            worker = failed_on[-1]
            job.record.add(self.now_s, Cause.WAITS_AFTER_FAILURE, job.retry_at_s, worker=worker)

    def _note(self, job: Job, cause: Cause, **fields: object) -> None:
        job.record.add(self.now_s, cause, **fields)
