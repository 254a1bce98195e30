"""The planner as its callers see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.model import Directory, Queue
from briardeal_workflow.planning._attempts import Attempt, End, Phase
from briardeal_workflow.planning._orders import StartTask, StopTask
from briardeal_workflow.planning._placement import place_by_preemption, place_in_room
from briardeal_workflow.planning._vms import Vm
from briardeal_workflow.planning._work import Work

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from briardeal_workflow.book import Progress
    from briardeal_workflow.model import Job, TaskId
    from briardeal_workflow.planning._orders import Order
    from briardeal_workflow.planning._placement import Placement
    from briardeal_workflow.planning._vms import Shape
    from briardeal_workflow.planning._work import Group

MISSING_LIMIT_S = 3.0
"""Time after which a start that its VM no longer lists counts as lost; lists come each second."""

STUCK_LIMIT_S = 5.0
"""Time without progress after which a start is given up; one hundredth of a job takes under 1 s."""

CLAIM_LIMIT_S = 3.0
"""Longest wait for stopped work to leave; workers stop within 0.4 s."""

PREEMPTION_DELAY_S = 0.6
"""Time that an urgent task waits for others to end by themselves before it stops one; with the
stop it still starts within the 1.1 s that urgent work may take."""

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is of no use to its caller any more."""

NUMBERS_PER_EPOCH = 1000
"""Numbers of starts that one owner may use for a task, so that those of the next are higher."""


@attrs.frozen
class RunningTask:
    """A task as the list of a VM tells it.

    Parameters
    ----------
    task, number
        What runs, and the number of its start.
    checkpoint
        Its newest checkpoint; empty for none.
    percent
        Part of its work that is done.
    load
        Rough figure of the last half second: tail latency in milliseconds of a lasting task with a
        latency target, processor time in use of any other.
    """

    task: TaskId
    number: int
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0


class Planner:
    """Decides which task runs where and when.

    It does no I/O: callers tell it what happened, with the time in seconds on a clock that never
    goes back, and ask for orders. Every order counts as given when it is returned.

    Parameters
    ----------
    epoch
        Fencing token of its owner; starts are numbered above those of lower epochs.

    Attributes
    ----------
    works
        Jobs that are not over, and those over that still have running tasks.
    vms
        VMs by name.
    changed
        Jobs whose progress has to be kept.
    ended
        Jobs that were over under this owner.
    settled
        Whether every task that an earlier owner may have started is known.
    """

    def __init__(self, epoch: int) -> None:
        self.first_number = (epoch - 1) * NUMBERS_PER_EPOCH + 1
        self.directory = Directory()
        self.works: dict[str, Work] = {}
        self.vms: dict[str, Vm] = {}
        self.changed: set[str] = set()
        self.ended: set[str] = set()
        self.settled = False
        self.orders: list[Order] = []
        self.missing_since_s: dict[tuple[str, TaskId, int], float] = {}
        self.claimed_since_s: dict[tuple[str, int, int], float] = {}

    def configure(self, directory: Directory) -> None:
        """Take over a new configuration."""
        self.directory = directory
        for work in self.works.values():
            work.queue = directory.by_name.get(work.job.queue, work.queue)

    def add(self, job: Job, progress: Progress, now_s: float, *, unsettled: bool = False) -> None:
        """Take a job; the same job again changes nothing.

        Parameters
        ----------
        unsettled
            Whether an earlier owner may have started tasks of it.
        """
        if job.job_id in self.works or job.job_id in self.ended or progress.state:
            return
        queue = self.directory.by_name.get(job.queue, Queue(job.queue, "", "", job.service))
        work = Work.begin(job, queue, progress, now_s)
        for group in work.groups.values():
            group.unsettled = unsettled
        self.works[job.job_id] = work

    def cancel(self, job_id: str) -> None:
        """Stop a job that its caller wants no more."""
        work = self.works.get(job_id)
        if work is not None and not work.cancelled:
            work.cancelled = True
            self._end_work(work, "cancelled")

    def settle(self) -> None:
        """Note that every task that an earlier owner may have started is known."""
        self.settled = True
        for work in self.works.values():
            for group in work.groups.values():
                group.unsettled = False

    def update_vm(self, shape: Shape, held_until_s: float, now_s: float) -> None:
        """Note what a VM says of itself; after a restart of its worker all that it ran is lost."""
        vm = self.vms.get(shape.vm_id)
        if vm is not None and vm.shape.incarnation != shape.incarnation:
            self.drop_vm(shape.vm_id, now_s)
            vm = None
        if vm is None:
            self.vms[shape.vm_id] = Vm(shape, held_until_s=held_until_s)
            return
        leaves = shape.leaving and not vm.shape.leaving
        vm.shape = shape
        vm.in_reach = True
        vm.held_until_s = max(vm.held_until_s, held_until_s)
        if leaves:
            self._evacuate(vm)

    def extend_hold(self, vm_id: str, held_until_s: float) -> None:
        """Note until when the work of a VM may go on unheard."""
        vm = self.vms.get(vm_id)
        if vm is not None:
            vm.held_until_s = max(vm.held_until_s, held_until_s)

    def lose_reach(self, vm_id: str) -> None:
        """Note that a VM is not heard; what it runs may go on until its hold is over."""
        vm = self.vms.get(vm_id)
        if vm is not None and vm.in_reach:
            vm.in_reach = False
            self._drop_claims_on(vm)

    def drop_vm(self, vm_id: str, now_s: float) -> None:
        """Take out a VM; all that it ran is lost."""
        vm = self.vms.pop(vm_id, None)
        if vm is None:
            return
        self._drop_claims_on(vm)
        for attempt in list(vm.attempts.values()):
            self._end_attempt(vm, attempt, End.LOST, "", now_s)

    def note_started(self, vm_id: str, task: TaskId, number: int, now_s: float) -> None:
        """Note that a start has begun."""
        vm = self.vms.get(vm_id)
        attempt = vm.attempts.get((task, number)) if vm is not None else None
        if attempt is None or attempt.phase is not Phase.ORDERED:
            return
        attempt.phase = Phase.RUNNING
        attempt.advanced_s = now_s
        self._note_work_started(task)

    def note_running(self, vm_id: str, rows: Iterable[RunningTask], now_s: float) -> None:
        """Take over the list of what a VM runs."""
        vm = self.vms.get(vm_id)
        if vm is None:
            return
        listed = set()
        for row in rows:
            listed.add((row.task, row.number))
            attempt = vm.attempts.get((row.task, row.number))
            if attempt is None:
                attempt = self._adopt(vm, row, now_s)
            self._note_progress(attempt, row, now_s)
        self._note_missing(vm, listed, now_s)

    def note_ended(
        self, vm_id: str, task: TaskId, number: int, end: End, checkpoint: str, now_s: float
    ) -> None:
        """Note that a start is over."""
        vm = self.vms.get(vm_id)
        attempt = vm.attempts.get((task, number)) if vm is not None else None
        if vm is not None and attempt is not None:
            self._end_attempt(vm, attempt, end, checkpoint, now_s)
            return
        # The end of a start that was taken for lost, or that an earlier owner has ordered.
        work = self.works.get(task.job_id)
        if work is not None and not work.over and task.group in work.groups:
            self._count_end(work, work.groups[task.group], task, number, end, checkpoint)

    def decide(self, now_s: float, wall_s: float) -> list[Order]:
        """Return what is to be done now, in this order."""
        self._drop_lapsed_vms(now_s)
        self._stop_stuck(now_s)
        self._start_claimed(now_s)
        for work in sorted(self.works.values(), key=lambda each: _order_key(each, wall_s)):
            if work.over:
                continue
            for group in work.ready_groups(wall_s, now_s):
                self._serve(work, group, now_s)
        self._forget_ended()
        orders, self.orders = self.orders, []
        return orders

    def _serve(self, work: Work, group: Group, now_s: float) -> None:
        if group.unsettled:
            return
        indices = group.idle_indices()
        if not indices or (group.step.gang and len(indices) < group.step.tasks):
            return
        vms = [vm for vm in self.vms.values() if vm.shape.service == work.job.service]
        placement = place_in_room(vms, group, indices, now_s)
        if placement is not None:
            self._claim(group, placement, now_s)
            self._start_group(work, group, "room", now_s)
        left = [index for index in indices if placement is None or index not in placement.vms]
        if left and work.queue.priority == 0 and now_s - group.ready_s >= PREEMPTION_DELAY_S:
            self._preempt_for(work, group, left, vms, now_s)

    def _preempt_for(
        self, work: Work, group: Group, indices: Sequence[int], vms: Sequence[Vm], now_s: float
    ) -> None:
        guaranteed = self._guaranteed_customers()

        def victims_of(attempt: Attempt) -> tuple[Attempt, ...] | None:
            if attempt.phase is Phase.STOPPING or attempt.task.job_id not in self.works:
                return None
            lower = attempt.priority > work.queue.priority
            beyond = work.job.customer in guaranteed and attempt.customer not in guaranteed
            if not (lower or beyond):
                return None
            return self._companions(attempt)

        placement = place_by_preemption(vms, group, indices, now_s, victims_of)
        if placement is None:
            return
        if work.job.customer not in guaranteed and placement.cost > _brought(group, indices):
            return
        for attempt in placement.victims:
            self._stop(attempt, f"makes room for {work.job.job_id}")
        self._claim(group, placement, now_s)

    def _guaranteed_customers(self) -> set[str]:
        """Return the customers whose urgent jobs are all within their guarantee."""
        wanted: dict[str, int] = {}
        for work in self.works.values():
            if work.queue.priority == 0 and not work.over:
                customer = work.job.customer
                wanted[customer] = wanted.get(customer, 0) + work.accelerators
        return {
            customer
            for customer, accelerators in wanted.items()
            if accelerators <= self.directory.guarantee_of(customer)
        }

    def _companions(self, attempt: Attempt) -> tuple[Attempt, ...]:
        """Return what ends along with a start: the members of its gang, or itself alone."""
        work = self.works[attempt.task.job_id]
        group = work.groups[attempt.task.group]
        if not group.step.gang:
            return (attempt,)
        return tuple(each for each in group.running() if each.phase is not Phase.STOPPING)

    def _claim(self, group: Group, placement: Placement, now_s: float) -> None:
        for index, vm_id in placement.vms.items():
            group.claimed[index] = vm_id
            self.vms[vm_id].claims[group.task(index)] = group.need
        self.claimed_since_s[group.group_id] = now_s

    def _start_claimed(self, now_s: float) -> None:
        for group_id, since_s in list(self.claimed_since_s.items()):
            work = self.works.get(group_id[0])
            if work is None:
                del self.claimed_since_s[group_id]
                continue
            group = work.groups[group_id]
            if work.over or now_s - since_s > CLAIM_LIMIT_S:
                self._drop_claims(group)
                continue
            self._start_group(work, group, "preemption", now_s)

    def _start_group(self, work: Work, group: Group, cause: str, now_s: float) -> None:
        """Start the claimed tasks of a group for which there is room; a gang all at once."""
        if group.step.gang and not self._gang_has_room(group):
            return
        number = max(group.numbers.values(), default=0) + 1
        for index, vm_id in sorted(group.claimed.items()):
            vm = self.vms[vm_id]
            if not group.need.within(vm.free_now()):
                continue
            del group.claimed[index]
            del vm.claims[group.task(index)]
            if not group.step.gang:
                number = group.numbers.get(index, 0) + 1
            self._start(work, group, index, vm, max(number, self.first_number), cause, now_s)
        if not group.claimed:
            self.claimed_since_s.pop(group.group_id, None)

    def _gang_has_room(self, group: Group) -> bool:
        free = {vm_id: self.vms[vm_id].free_now() for vm_id in group.claimed.values()}
        for vm_id in group.claimed.values():
            if not group.need.within(free[vm_id]):
                return False
            free[vm_id] = free[vm_id].minus(group.need)
        return True

    def _start(
        self, work: Work, group: Group, index: int, vm: Vm, number: int, cause: str, now_s: float
    ) -> None:
        attempt = self._add_attempt(work, group, vm, group.task(index), number, now_s)
        checkpoint = group.checkpoints.get(group.counted_index(index), "")
        attempt.checkpoint = checkpoint
        self.orders.append(
            StartTask(vm.vm_id, attempt.task, number, work.job.command, checkpoint, cause)
        )

    def _add_attempt(
        self, work: Work, group: Group, vm: Vm, task: TaskId, number: int, now_s: float
    ) -> Attempt:
        attempt = Attempt(
            task,
            number,
            vm.vm_id,
            group.need,
            work.queue.priority,
            work.job.customer,
            checkpoints=group.step.checkpoints,
            ordered_s=now_s,
            advanced_s=now_s,
        )
        vm.attempts[task, number] = attempt
        group.attempts.setdefault(task.index, []).append(attempt)
        group.numbers[task.index] = max(number, group.numbers.get(task.index, 0))
        return attempt

    def _adopt(self, vm: Vm, row: RunningTask, now_s: float) -> Attempt:
        """Take over a start that this owner has not ordered, or stop it where nobody wants it."""
        work = self.works.get(row.task.job_id)
        group = work.groups.get(row.task.group) if work is not None else None
        if work is None or group is None:
            attempt = Attempt(row.task, row.number, vm.vm_id, vm.room(), 0, "", ordered_s=now_s)
            vm.attempts[row.task, row.number] = attempt
            self._stop(attempt, "job is over")
            return attempt
        attempt = self._add_attempt(work, group, vm, row.task, row.number, now_s)
        attempt.phase = Phase.RUNNING
        self._note_work_started(row.task)
        if work.over or row.task.index in group.done:
            self._stop(attempt, "task is over")
        log_event(Event.JOB_ADOPTED, job_id=row.task.job_id, task=str(row.task), vm=vm.vm_id)
        return attempt

    def _note_progress(self, attempt: Attempt, row: RunningTask, now_s: float) -> None:
        if attempt.phase is Phase.ORDERED:
            attempt.phase = Phase.RUNNING
            self._note_work_started(row.task)
        if row.percent > attempt.percent:
            attempt.percent = row.percent
            attempt.advanced_s = now_s
        if row.checkpoint and row.checkpoint != attempt.checkpoint:
            attempt.checkpoint = row.checkpoint
            self._keep_checkpoint(row.task, row.checkpoint)

    def _keep_checkpoint(self, task: TaskId, checkpoint: str) -> None:
        work = self.works.get(task.job_id)
        group = work.groups.get(task.group) if work is not None else None
        if group is not None and checkpoint and task.index not in group.done:
            group.checkpoints[group.counted_index(task.index)] = checkpoint

    def _note_missing(self, vm: Vm, listed: set[tuple[TaskId, int]], now_s: float) -> None:
        for key, attempt in list(vm.attempts.items()):
            name = (vm.vm_id, *key)
            if key in listed or attempt.phase is Phase.ORDERED:
                self.missing_since_s.pop(name, None)
            elif now_s - self.missing_since_s.setdefault(name, now_s) > MISSING_LIMIT_S:
                self.missing_since_s.pop(name)
                self._end_attempt(vm, attempt, End.LOST, "", now_s)

    def _note_work_started(self, task: TaskId) -> None:
        work = self.works.get(task.job_id)
        if work is not None and not work.started:
            work.started = True
            self.changed.add(task.job_id)

    def _end_attempt(
        self, vm: Vm, attempt: Attempt, end: End, checkpoint: str, now_s: float
    ) -> None:
        task = attempt.task
        vm.attempts.pop((task, attempt.number), None)
        self.missing_since_s.pop((vm.vm_id, task, attempt.number), None)
        self._judge_vm(vm, end, now_s)
        work = self.works.get(task.job_id)
        group = work.groups.get(task.group) if work is not None else None
        if work is None or group is None:
            return
        running = group.attempts.get(task.index, [])
        if attempt in running:
            running.remove(attempt)
        if end is End.FAILED:
            group.failed_on.setdefault(task.index, set()).add(vm.vm_id)
        if not work.over:
            self._count_end(work, group, task, attempt.number, end, checkpoint)

    def _judge_vm(self, vm: Vm, end: End, now_s: float) -> None:
        if end is End.DONE:
            vm.note_success()
        elif end is End.FAILED and vm.note_failure(now_s):
            log_event(Event.ENDPOINT_EJECTED, vm=vm.vm_id, failures=vm.failures)

    def _count_end(
        self, work: Work, group: Group, task: TaskId, number: int, end: End, checkpoint: str
    ) -> None:
        self._keep_checkpoint(task, checkpoint)
        if end is End.DONE and not group.step.lasting:
            self._note_done(work, group, task)
            return
        if end is End.FAILED and not group.step.lasting and task.index not in group.done:
            self._count_failure(work, group, task.index, number)
        if group.step.gang and not work.over and not group.complete:
            for attempt in list(group.running()):
                if attempt.number == number and attempt.phase is not Phase.STOPPING:
                    self._stop(attempt, f"member {task.index} of the gang is {end}")

    def _note_done(self, work: Work, group: Group, task: TaskId) -> None:
        group.done.update(range(group.step.tasks) if group.step.gang else (task.index,))
        group.checkpoints.pop(group.counted_index(task.index), None)
        self._drop_claims(group, group.done)
        for attempt in group.attempts.get(task.index, ()):
            if not group.step.gang and attempt.phase is not Phase.STOPPING:
                self._stop(attempt, "another copy is done")
        self.changed.add(work.job.job_id)
        if all(each.complete for each in work.groups.values()):
            work.state = "completed"

    def _count_failure(self, work: Work, group: Group, index: int, number: int) -> None:
        counted = group.counted_index(index)
        if number <= group.failed_numbers.get(counted, 0):
            return
        group.failed_numbers[counted] = number
        group.failures[counted] = group.failures.get(counted, 0) + 1
        self.changed.add(work.job.job_id)
        if group.failures[counted] >= work.queue.failure_limit:
            work.state = "failed"
            self._end_work(work, "failed too often")

    def _end_work(self, work: Work, cause: str) -> None:
        for group in work.groups.values():
            self._drop_claims(group)
            for attempt in list(group.running()):
                if attempt.phase is not Phase.STOPPING:
                    self._stop(attempt, cause)

    def _stop(self, attempt: Attempt, cause: str) -> None:
        attempt.phase = Phase.STOPPING
        self.orders.append(StopTask(attempt.vm_id, attempt.task, attempt.number, cause))

    def _evacuate(self, vm: Vm) -> None:
        """Stop what can go on elsewhere from its checkpoint."""
        self._drop_claims_on(vm)
        for attempt in list(vm.attempts.values()):
            if attempt.checkpoints and attempt.task.job_id in self.works:
                for each in self._companions(attempt):
                    if each.phase is not Phase.STOPPING:
                        self._stop(each, "VM is leaving")

    def _stop_stuck(self, now_s: float) -> None:
        for vm in self.vms.values():
            for attempt in list(vm.attempts.values()):
                if attempt.phase is Phase.RUNNING and self._is_stuck(attempt, now_s):
                    vm.note_failure(now_s)
                    for each in self._companions(attempt):
                        self._stop(each, "no progress")

    def _is_stuck(self, attempt: Attempt, now_s: float) -> bool:
        work = self.works.get(attempt.task.job_id)
        if work is None or now_s - attempt.advanced_s <= STUCK_LIMIT_S:
            return False
        return not work.groups[attempt.task.group].step.lasting

    def _drop_lapsed_vms(self, now_s: float) -> None:
        for vm in list(self.vms.values()):
            if not vm.in_reach and vm.held_until_s < now_s:
                log_event(Event.AGENT_EXPIRED, vm=vm.vm_id, tasks=len(vm.attempts))
                self.drop_vm(vm.vm_id, now_s)

    def _drop_claims(self, group: Group, indices: Iterable[int] | None = None) -> None:
        for index in list(group.claimed if indices is None else indices):
            vm_id = group.claimed.pop(index, None)
            if vm_id in self.vms:
                self.vms[vm_id].claims.pop(group.task(index), None)
        if not group.claimed:
            self.claimed_since_s.pop(group.group_id, None)

    def _drop_claims_on(self, vm: Vm) -> None:
        for task in list(vm.claims):
            work = self.works.get(task.job_id)
            if work is None:
                del vm.claims[task]
            else:
                self._drop_claims(work.groups[task.group])

    def _forget_ended(self) -> None:
        for job_id, work in list(self.works.items()):
            idle = not any(any(group.running()) for group in work.groups.values())
            if work.over and idle and job_id not in self.changed:
                del self.works[job_id]
                self.ended.add(job_id)


def _brought(group: Group, indices: Sequence[int]) -> float:
    """Return the work of some tasks, in seconds times cores."""
    return len(indices) * group.step.estimate_s * group.need.weight


def _order_key(work: Work, wall_s: float) -> tuple[int, bool, float, str]:
    """Return the place of a job: urgent classes first, then by when it has to be done."""
    objective_s = work.queue.stretch_limit * work.chain_s() + work.queue.latency_target_s
    useless = wall_s > work.job.accepted_s + LATE_FACTOR * objective_s and not work.job.timed
    return (work.queue.priority, useless, work.job.accepted_s + objective_s, work.job.job_id)
