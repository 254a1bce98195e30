"""Starts tasks of groups whose turn has come."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import URGENT, Attempt, AttemptPhase
from briardeal_workflow.planning._orders import StartTask
from briardeal_workflow.planning._placement import place_on_free_capacity, place_on_soonest_free
from briardeal_workflow.planning._preemption import place_by_preemption

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._active_jobs import ActiveJob, Group
    from briardeal_workflow.planning._placement import Placement
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._vms import Vm

CLAIM_LIMIT_S = 3.0
"""Longest wait for stopped work to leave; workers stop within 0.4 s."""

PREEMPTION_DELAY_S = 0.6
"""Time that an urgent task waits for others to end by themselves before it stops one; with the
stop it still starts within the 1.1 s that urgent work may take."""

RESERVATION_S = 1.0
"""Time after which reserved VMs are chosen anew, by what runs then; lists come each second."""

STOP_S = 0.4
"""Time in which workers stop a task, by the contract of the platform."""


class TaskStarter:
    """Gives tasks their VMs.

    Parameters
    ----------
    state
        What the decisions are taken from, and where they are noted.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state

    def start_or_preempt(self, work: ActiveJob, group: Group, now_s: float) -> None:
        """Start what there is room for, and make room for what is urgent."""
        if group.takeover_pending:
            return
        indices = group.unplaced_indices()
        if not indices or (group.step.gang and len(indices) < group.step.tasks):
            return
        vms = [vm for vm in self.state.vms.values() if vm.description.service == work.job.service]
        unreserved = [vm for vm in vms if not vm.is_reserved_for_other(group.group_id, now_s)]
        placement = place_on_free_capacity(unreserved, group, indices, now_s)
        if placement is not None:
            self._claim(group, placement, now_s)
            self._start_claimed_tasks(work, group, "room", now_s)
        left = [index for index in indices if placement is None or index not in placement.vms]
        if not left or work.queue.priority != URGENT:
            return
        if now_s - group.ready_s < PREEMPTION_DELAY_S:
            return
        if not self._preempt_for(work, group, left, vms, now_s):
            self._reserve(group, left, unreserved, now_s)

    def start_claimed(self, now_s: float) -> None:
        """Start tasks whose VMs have room by now."""
        for group_id, since_s in list(self.state.claimed_since_s.items()):
            work = self.state.active_jobs.get(group_id.job_id)
            if work is None:
                del self.state.claimed_since_s[group_id]
                continue
            group = work.groups[group_id]
            if work.finished or now_s - since_s > CLAIM_LIMIT_S:
                self.state.release_claims(group)
                continue
            self._start_claimed_tasks(work, group, "preemption", now_s)

    def add_attempt(
        self, work: ActiveJob, group: Group, vm: Vm, task: TaskId, number: int, now_s: float
    ) -> Attempt:
        """Note a start on a VM."""
        attempt = Attempt(
            task,
            number,
            vm.vm_id,
            group.task_resources,
            work.queue.priority,
            work.job.customer,
            checkpoints=group.step.checkpoints,
            ordered_s=now_s,
            last_progress_s=now_s,
        )
        vm.attempts[task, number] = attempt
        group.attempts.setdefault(task.index, []).append(attempt)
        group.attempt_numbers[task.index] = max(number, group.attempt_numbers.get(task.index, 0))
        return attempt

    def _preempt_for(
        self, work: ActiveJob, group: Group, indices: Sequence[int], vms: Sequence[Vm], now_s: float
    ) -> bool:
        """Stop others for some tasks, and return whether that is allowed and worth it."""
        guaranteed = self._guaranteed_customers()

        def victims_of(attempt: Attempt) -> tuple[Attempt, ...] | None:
            other = self.state.group_of(attempt.task)
            if attempt.phase is AttemptPhase.STOPPING or other is None or not other.may_disrupt():
                return None
            lower = attempt.priority > work.queue.priority
            beyond = work.job.customer in guaranteed and attempt.customer not in guaranteed
            return self.state.stopped_together(attempt) if lower or beyond else None

        placement = place_by_preemption(vms, group, indices, now_s, victims_of)
        if placement is None:
            return False
        within_guarantee = work.job.customer in guaranteed
        brought = _requested_core_s(group, indices)
        # What was stopped for it in vain counts, or it would stop others again and again.
        if not within_guarantee and group.preempted_core_s + placement.lost_core_s > brought:
            return False
        group.preempted_core_s += placement.lost_core_s
        for attempt in placement.victims:
            self.state.stop(
                attempt,
                f"makes room for {work.job.job_id}",
                guaranteed=within_guarantee,
                lost_core_s=round(attempt.unsaved_core_s(now_s), 1),
                brought_core_s=round(brought, 1),
            )
        self._claim(group, placement, now_s)
        return True

    def _reserve(
        self, group: Group, indices: Sequence[int], vms: Sequence[Vm], now_s: float
    ) -> None:
        """Keep the VMs that have room soonest, or smaller tasks would take it bit by bit."""
        if group.reserved_until_s > now_s:
            return
        placement = place_on_soonest_free(
            vms, group, indices, now_s, lambda attempt: self._remaining_s(attempt, now_s)
        )
        group.reserved_until_s = now_s + RESERVATION_S
        for vm_id in () if placement is None else placement.vms.values():
            self.state.vms[vm_id].reserve_for(group.group_id, group.reserved_until_s)

    def _remaining_s(self, attempt: Attempt, now_s: float) -> float:
        """Return for how long a start is expected to run on, in seconds."""
        group = self.state.group_of(attempt.task)
        if attempt.phase is AttemptPhase.STOPPING or group is None:
            return STOP_S
        return max(STOP_S, attempt.ordered_s + group.step.estimate_s - now_s)

    def _guaranteed_customers(self) -> set[str]:
        """Return the customers whose urgent jobs are all within their guarantee."""
        wanted: dict[str, int] = {}
        for work in self.state.active_jobs.values():
            if work.queue.priority == URGENT and not work.finished:
                customer = work.job.customer
                wanted[customer] = wanted.get(customer, 0) + work.accelerators
        return {
            customer
            for customer, accelerators in wanted.items()
            if accelerators <= self.state.directory.guarantee_of(customer)
        }

    def _claim(self, group: Group, placement: Placement, now_s: float) -> None:
        for index, vm_id in placement.vms.items():
            group.claimed_vms[index] = vm_id
            self.state.vms[vm_id].claims[group.task_id(index)] = group.task_resources
        self.state.claimed_since_s[group.group_id] = now_s

    def _start_claimed_tasks(self, work: ActiveJob, group: Group, cause: str, now_s: float) -> None:
        """Start the claimed tasks of a group for which there is room; a gang all at once."""
        if group.step.gang and not self._gang_fits(group):
            return
        gang_number = max(group.attempt_numbers.values(), default=0) + 1
        for index, vm_id in sorted(group.claimed_vms.items()):
            vm = self.state.vms[vm_id]
            if not group.task_resources.fits_in(vm.free_capacity()):
                continue
            del group.claimed_vms[index]
            del vm.claims[group.task_id(index)]
            number = gang_number if group.step.gang else group.attempt_numbers.get(index, 0) + 1
            number = max(number, self.state.first_attempt_number)
            self._start(work, group, index, vm, number, cause, now_s)
        if not group.claimed_vms:
            self.state.claimed_since_s.pop(group.group_id, None)

    def _gang_fits(self, group: Group) -> bool:
        free = {
            vm_id: self.state.vms[vm_id].free_capacity() for vm_id in group.claimed_vms.values()
        }
        for vm_id in group.claimed_vms.values():
            if not group.task_resources.fits_in(free[vm_id]):
                return False
            free[vm_id] = free[vm_id].minus(group.task_resources)
        return True

    def _start(
        self,
        work: ActiveJob,
        group: Group,
        index: int,
        vm: Vm,
        number: int,
        cause: str,
        now_s: float,
    ) -> None:
        attempt = self.add_attempt(work, group, vm, group.task_id(index), number, now_s)
        attempt.checkpoint = group.checkpoints.get(group.record_index(index), "")
        ready_for_s = 0.0 if group.ready_s is None else round(now_s - group.ready_s, 3)
        self.state.orders.append(
            StartTask(
                vm.vm_id,
                attempt.task,
                number,
                work.job.command,
                attempt.checkpoint,
                cause,
                {
                    "ready_for_s": ready_for_s,
                    "resumed": bool(attempt.checkpoint),
                    "cpu_millis": group.task_resources.cpu_millis,
                    "accelerators": group.task_resources.accelerators,
                },
            )
        )


def _requested_core_s(group: Group, indices: Sequence[int]) -> float:
    """Return the work of some tasks, in seconds times cores."""
    return len(indices) * group.step.estimate_s * group.task_resources.core_equivalents
