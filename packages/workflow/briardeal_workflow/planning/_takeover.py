"""Tasks that wait after a takeover, as an earlier owner may have started them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup


class TakeoverHold:
    """Holds back tasks that may run for an earlier owner on a VM that has not reported since.

    Parameters
    ----------
    state
        Planner state whose groups are held back.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state

    def hold_tasks(
        self,
        starts: Mapping[str, Collection[tuple[TaskId, int]]],
        unreported_vms: Collection[str],
    ) -> int:
        """Hold back the tasks that may run on VMs that have not reported; return their number.

        Parameters
        ----------
        starts
            Attempts, as task and number, that earlier owners may have started, by VM. Only the
            newest attempt of a task may still run: it was ordered once the others had ended.
        unreported_vms
            VMs that have not reported since the takeover.
        """
        newest: dict[TaskId, tuple[int, str]] = {}
        for vm_id, attempts in starts.items():
            for task, number in attempts:
                newest[task] = max(newest.get(task, (-1, "")), (number, vm_id))
        held = 0
        for task, (number, vm_id) in newest.items():
            group = self.state.group_of(task)
            if group is None:
                continue
            # An earlier owner may have used more numbers than it had before those of this one.
            group.attempt_numbers[task.index] = max(
                number, group.attempt_numbers.get(task.index, 0)
            )
            if vm_id in unreported_vms and task.index not in group.done:
                group.unreported_vms[task.index] = vm_id
                held += 1
        return held

    def release_vm(self, vm_id: str) -> None:
        """Release the tasks that may have run on a VM that has reported, or has lost its lease."""
        for group in self._groups():
            for index in [key for key, value in group.unreported_vms.items() if value == vm_id]:
                del group.unreported_vms[index]

    def release_others(self) -> None:
        """Release all tasks that are not held back for a certain VM."""
        for group in self._groups():
            group.takeover_pending = False

    def complete(self) -> None:
        """Release all tasks: all that an earlier owner may have started are known."""
        self.state.takeover_complete = True
        for group in self._groups():
            group.takeover_pending = False
            group.unreported_vms.clear()

    def _groups(self) -> Iterator[TaskGroup]:
        for active_job in self.state.active_jobs.values():
            yield from active_job.groups.values()
