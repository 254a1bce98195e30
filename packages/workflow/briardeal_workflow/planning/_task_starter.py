"""Starting of ready tasks: placement, preemption and reservation of VMs."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import URGENT, Attempt, AttemptPhase
from briardeal_workflow.planning._awaited_ends import AwaitedEnds
from briardeal_workflow.planning._claims import ClaimKeeper
from briardeal_workflow.planning._losses import LossCause, broken_by
from briardeal_workflow.planning._orders import StartTask
from briardeal_workflow.planning._pace import PaceReader
from briardeal_workflow.planning._placement import place_on_free_capacity, place_on_soonest_free
from briardeal_workflow.planning._preemption import place_by_preemption
from briardeal_workflow.planning._task_groups import WaitCause
from briardeal_workflow.planning._wait_log import WAIT_LOG_DELAY_S, WaitLog
from briardeal_workflow.planning._waiting import find_unfinished_wait, find_unusable_capacity

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm

PREEMPTION_DELAY_S = 0.6
"""Longest time that urgent tasks wait for others that are expected to end by themselves. Including
the stop of tasks that do not, they start within the target of 1.1 s where a stop takes 0.4 s. Where
it takes 0.9 s, they start after 1.5 s and the orders, well within the 2.9 s of a guarantee."""

RESERVATION_S = 1.0
"""Time after which a reservation ends unless a planning round repeats it."""

PROBATION_SHARE = 1 / 3
"""Largest share of the VMs on which tasks that may crash them are on probation at the same time."""

MEMBERS_LIMIT_S = 3.0
"""Time for which members of a gang run without others before they are stopped; workers end members
that have waited for as long."""


class TaskStarter:
    """Assigns VMs to tasks and starts them.

    Parameters
    ----------
    state
        Planner state to decide from and to update.

    Attributes
    ----------
    next_preemption_s
        When the next waiting urgent task may preempt others, on the event loop's clock; infinity
        if none waits for that.
    paces
        Returns in how many seconds attempts end, as of this planning round.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state
        self.claims = ClaimKeeper(state)
        self.wait_log = WaitLog(state)
        self.next_preemption_s = float("inf")
        self.paces = PaceReader(state, 0.0)

    def start_or_preempt(self, active_job: ActiveJob, group: TaskGroup, now_s: float) -> None:
        """Start tasks that fit into free capacity; for urgent ones, preempt or reserve VMs."""
        if group.takeover_pending:
            self.wait_log.record(active_job, group, WaitCause.TAKEOVER, now_s)
            return
        indices = self._find_startable(active_job, group, now_s)
        if not indices:
            return
        vms = [
            vm for vm in self.state.vms_of(active_job) if not vm.is_closed_to(group.group_id, now_s)
        ]
        unreserved = [vm for vm in vms if not vm.is_reserved_for_other(group.group_id, now_s)]
        placement = place_on_free_capacity(unreserved, group, indices, now_s)
        if placement is not None:
            self.claims.add(group, placement, now_s)
            self._start_claimed_tasks(active_job, group, "room", now_s)
        unplaced = [index for index in indices if placement is None or index not in placement.vms]
        if not unplaced:
            group.wait_cause = None
            return
        unplaced = _without_isolated(group, unplaced, now_s)
        if not unplaced:
            self.wait_log.record(active_job, group, WaitCause.ISOLATION, now_s)
            return
        if active_job.queue.priority != URGENT:
            # Only VMs reserved for other groups can still have enough free capacity.
            is_reserved = (
                len(unreserved) < len(vms)
                and place_on_free_capacity(vms, group, unplaced, now_s) is not None
            )
            unusable = find_unusable_capacity(self.state.vms_of(active_job), group, unplaced, now_s)
            cause = WaitCause.RESERVED if is_reserved else unusable or WaitCause.CAPACITY
            self.wait_log.record(active_job, group, cause, now_s)
            return
        if group.preemption_due_s is None:
            group.preemption_due_s = self._preemption_due_s(group, unplaced, unreserved, now_s)
        if now_s < group.preemption_due_s:
            self.next_preemption_s = min(self.next_preemption_s, group.preemption_due_s)
            self._reserve(group, unplaced, unreserved, now_s)
            return
        obstacle = self._preempt_for(active_job, group, unplaced, vms, now_s)
        if obstacle is not None:
            unusable = find_unusable_capacity(self.state.vms_of(active_job), group, unplaced, now_s)
            self.wait_log.record(active_job, group, unusable or obstacle, now_s)
            self.claims.release_incomplete(group, now_s)
            self._reserve(group, group.unplaced_indices(), unreserved, now_s)

    def start_claimed(self, now_s: float) -> None:
        """Begin a planning round: start tasks whose claimed VMs now have enough free capacity."""
        self.paces = PaceReader(self.state, now_s)
        self.claims.release_silent(now_s)
        for group_id in sorted(self.state.claiming_groups):
            active_job = self.state.active_jobs[group_id.job_id]
            group = active_job.groups[group_id]
            if not self.state.starts_held:
                self._start_claimed_tasks(active_job, group, "preemption", now_s)
            self.claims.release_late(group, now_s)
            awaited_until_s = self.claims.awaited_until_s(group)
            if awaited_until_s > now_s:
                self.next_preemption_s = min(self.next_preemption_s, awaited_until_s)

    def add_attempt(
        self,
        active_job: ActiveJob,
        group: TaskGroup,
        vm: Vm,
        task: TaskId,
        number: int,
        now_s: float,
    ) -> Attempt:
        """Add an attempt to its VM and group."""
        attempt = Attempt(
            task,
            number,
            vm.vm_id,
            group.task_resources,
            active_job.queue.priority,
            active_job.job.customer,
            checkpointable=group.step.checkpointable,
            ordered_s=now_s,
            last_progress_s=now_s,
            restart_s=self.state.timing.restart_s,
            earlier_lost_core_s=group.earlier_lost_core_s(task.index),
        )
        vm.attempts[task, number] = attempt
        group.attempts.setdefault(task.index, []).append(attempt)
        group.attempt_numbers[task.index] = max(number, group.attempt_numbers.get(task.index, 0))
        return attempt

    def _find_startable(
        self, active_job: ActiveJob, group: TaskGroup, now_s: float
    ) -> Sequence[int]:
        """Return the tasks that may start now.

        Those that crashed workers, or may run for an earlier owner, may have to wait.
        """
        indices = group.indices_to_place()
        if not indices and group.unreported_vms:
            self.wait_log.record(active_job, group, WaitCause.TAKEOVER, now_s)
        elif not indices:
            self._record_unfinished_wait(active_job, group, now_s)
        elif self.state.starts_held:
            self.wait_log.record(active_job, group, WaitCause.REQUESTS_UNREAD, now_s)
            return ()
        if not group.crash_records:
            return indices
        obstacles = [self._obstacle_of(group, index, now_s) for index in indices]
        startable = [
            index for index, obstacle in zip(indices, obstacles, strict=True) if obstacle is None
        ]
        if not startable or (group.step.gang and len(startable) < len(indices)):
            if indices:
                cause = next(each for each in obstacles if each is not None)
                self.wait_log.record(active_job, group, cause, now_s)
            return ()
        return startable

    def _obstacle_of(self, group: TaskGroup, index: int, now_s: float) -> WaitCause | None:
        """Return why a task that crashed workers may not start now; `None` if it may."""
        if group.awaits_verdict(index):
            return WaitCause.VERDICT
        if not group.needs_isolation(index, now_s) or group.step.gang:
            return None
        vms = self.state.vms.values()
        isolating = [vm for vm in vms if vm.probation_until_s > now_s]
        if any(vm.probation_of == group.group_id for vm in isolating):
            return None
        limit = max(1, int(PROBATION_SHARE * len(vms)))
        return WaitCause.ISOLATION if len(isolating) >= limit else None

    def _record_unfinished_wait(
        self, active_job: ActiveJob, group: TaskGroup, now_s: float
    ) -> None:
        """Log why placed tasks don't run, and stop the members of a gang that lacks others."""
        wait = find_unfinished_wait(self.state.vms, group, now_s)
        if wait is None or now_s - wait.since_s < WAIT_LOG_DELAY_S:
            group.wait_cause = None
            return
        waited_s = now_s - wait.since_s
        self.wait_log.write(active_job, group, wait.cause, waited_s, now_s, tasks=wait.tasks)
        incomplete_since_s = group.incomplete_since_s
        if incomplete_since_s is not None and now_s - incomplete_since_s > MEMBERS_LIMIT_S:
            for attempt in list(group.active_attempts()):
                self.state.stop(
                    attempt,
                    "members of the gang are missing",
                    loss_cause=broken_by(LossCause.MEMBERS_MISSING),
                )

    def _preemption_due_s(
        self, group: TaskGroup, indices: Sequence[int], vms: Sequence[Vm], now_s: float
    ) -> float:
        """Return from when some tasks may preempt others.

        They wait only if their capacity is expected to become free by itself within the delay, by
        the pace of the running tasks; declared run times are too rough for such short times. Until
        a takeover is complete, VMs that have not reported yet may have free capacity.
        """
        latest_s = group.ready_s + PREEMPTION_DELAY_S
        if not self.state.takeover_complete:
            return latest_s
        placement = place_on_soonest_free(vms, group, indices, now_s, self.paces)
        becomes_free = placement is not None and now_s + placement.wait_s <= latest_s
        return latest_s if becomes_free else now_s

    def _preempt_for(
        self,
        active_job: ActiveJob,
        group: TaskGroup,
        indices: Sequence[int],
        vms: Sequence[Vm],
        now_s: float,
    ) -> WaitCause | None:
        """Preempt other attempts for some tasks, or return why that is impossible or not allowed.

        It is not allowed if it loses more work than the tasks bring, unless the customer is within
        its guarantee. What earlier preemptions lost decides what to stop, but keeps no task waiting
        that may stop something else.
        """
        guaranteed = self._guaranteed_customers()
        ends_soon = AwaitedEnds(self.paces, group.ready_s, PREEMPTION_DELAY_S)

        def victims_of(attempt: Attempt) -> tuple[Attempt, ...] | None:
            other = self.state.group_of(attempt.task)
            if attempt.phase is AttemptPhase.STOPPING or other is None or not other.may_disrupt():
                return None
            lower_priority = attempt.priority > active_job.queue.priority
            beyond_guarantee = (
                active_job.job.customer in guaranteed and attempt.customer not in guaranteed
            )
            return (
                self.state.stopped_together(attempt) if lower_priority or beyond_guarantee else None
            )

        within_guarantee = active_job.job.customer in guaranteed
        requested_core_s = _requested_core_s(group, indices)
        # Earlier preemptions for the group count too, even if its tasks did not start after them;
        # otherwise the group could preempt others without limit.
        allowed_core_s = requested_core_s - group.preempted_core_s
        for cost_of in (Attempt.preemption_cost_core_s, Attempt.stop_loss_core_s):
            placement = place_by_preemption(
                vms, group, indices, now_s, victims_of, partial(cost_of, now_s=now_s), ends_soon
            )
            if placement is None:
                return WaitCause.NO_VICTIMS
            if within_guarantee or placement.lost_core_s <= allowed_core_s:
                break
        else:
            return WaitCause.COSTS_MORE
        group.preempted_core_s += placement.lost_core_s
        for attempt in placement.victims:
            self.state.preempt(
                attempt,
                f"makes room for {active_job.job.job_id}",
                now_s,
                guaranteed=within_guarantee,
                brought_core_s=round(requested_core_s, 1),
            )
        self.claims.add(group, placement, now_s, ends_soon.until_s)
        if placement.awaited_vms:
            self.next_preemption_s = min(self.next_preemption_s, ends_soon.until_s)
        return None

    def _reserve(
        self, group: TaskGroup, indices: Sequence[int], vms: Sequence[Vm], now_s: float
    ) -> None:
        """Reserve the VMs that have capacity soonest, so that no smaller task occupies it first.

        They are chosen again in each round, as tasks end earlier than expected.
        """
        placement = place_on_soonest_free(vms, group, indices, now_s, self._remaining_s)
        chosen = set() if placement is None else set(placement.vms.values())
        for vm_id in group.reserved_vms - chosen:
            if vm_id in self.state.vms:
                self.state.vms[vm_id].release_reservation(group.group_id)
        for vm_id in chosen:
            self.state.vms[vm_id].reserve_for(group.group_id, now_s + RESERVATION_S)
        group.reserved_vms = chosen

    def _remaining_s(self, attempt: Attempt) -> float:
        """Return the expected remaining run time of an attempt, in seconds."""
        remaining_s = self.paces(attempt)
        group = self.state.group_of(attempt.task)
        if group is None or math.isfinite(remaining_s):
            return remaining_s
        return self.paces.declared_remaining_s(attempt)

    def _guaranteed_customers(self) -> set[str]:
        """Return the customers whose urgent jobs together stay within their guarantee."""
        requested: dict[str, int] = {}
        for active_job in self.state.active_jobs.values():
            if active_job.queue.priority == URGENT and not active_job.finished:
                customer = active_job.job.customer
                requested[customer] = (
                    requested.get(customer, 0) + active_job.first_step_accelerators
                )
        return {
            customer
            for customer, accelerators in requested.items()
            if accelerators <= self.state.configuration.guaranteed_accelerators_of(customer)
        }

    def _start_claimed_tasks(
        self, active_job: ActiveJob, group: TaskGroup, cause: str, now_s: float
    ) -> None:
        """Start the tasks of a group that fit into the claimed VMs, those of a gang all or none."""
        gang_number = max(group.attempt_numbers.values(), default=0) + 1
        for index in self.claims.ready_indices(group):
            vm = self.state.vms[group.claims.pop(index).vm_id]
            del vm.claims[group.task_id(index)]
            number = gang_number if group.step.gang else group.attempt_numbers.get(index, 0) + 1
            number = max(number, self.state.first_attempt_number)
            self._start(active_job, group, index, vm, number, cause, now_s)
        if not group.claims:
            self.state.claiming_groups.discard(group.group_id)

    def _start(
        self,
        active_job: ActiveJob,
        group: TaskGroup,
        index: int,
        vm: Vm,
        number: int,
        cause: str,
        now_s: float,
    ) -> None:
        attempt = self.add_attempt(active_job, group, vm, group.task_id(index), number, now_s)
        attempt.checkpoint = group.checkpoints.get(group.recorded_index(index), "")
        attempt.resumed = bool(attempt.checkpoint)
        if group.is_suspect(index):
            vm.begin_probation(attempt, now_s + group.crash_records[index].probation_s)
        ready_for_s = 0.0 if group.ready_s is None else round(now_s - group.ready_s, 3)
        known_for_s = round(now_s - active_job.added_s, 3)
        self.state.orders.append(
            StartTask(
                vm.vm_id,
                attempt.task,
                number,
                active_job.job.command,
                attempt.checkpoint,
                vm.description.incarnation,
                cause,
                {
                    "ready_for_s": ready_for_s,
                    "known_for_s": known_for_s,
                    "resumed": attempt.resumed,
                    "checkpointable": group.step.checkpointable,
                    "cpu_millis": group.task_resources.cpu_millis,
                    "accelerators": group.task_resources.accelerators,
                },
            )
        )


def _without_isolated(group: TaskGroup, indices: Sequence[int], now_s: float) -> list[int]:
    """Return the tasks that may run beside other work; none of a gang with one that may not."""
    allowed = [index for index in indices if not group.needs_isolation(index, now_s)]
    return [] if group.step.gang and len(allowed) < len(indices) else allowed


def _requested_core_s(group: TaskGroup, indices: Sequence[int]) -> float:
    """Return the declared work of some tasks, of a gang of all its members, in core-seconds."""
    tasks = group.step.tasks if group.step.gang else len(indices)
    return tasks * group.step.estimate_s * group.task_resources.core_equivalents
