"""What the tasks of a group wait for, beside free capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._task_groups import WaitCause

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm


def find_unusable_capacity(
    vms: Iterable[Vm], group: TaskGroup, indices: Sequence[int], now_s: float
) -> WaitCause | None:
    """Return why tasks can't use the free capacity of some VM; `None` if there is no such VM."""
    cause = None
    for vm in vms:
        refuses = vm.reachable and any(
            group.refusal_pause_s(index, vm.vm_id, now_s) for index in indices
        )
        if vm.description.leaving or vm.evacuated or (vm.reachable and not refuses):
            continue
        if group.task_resources.fits_in(vm.unclaimed_capacity()):
            if refuses:
                return WaitCause.REFUSED
            cause = WaitCause.UNREACHABLE
    return cause


@attrs.frozen
class UnfinishedWait:
    """Wait of tasks that have been placed, or of which an attempt has not ended.

    Parameters
    ----------
    since_s
        Since when the first of the tasks waits, on the event loop's clock.
    cause, tasks
        What they wait for, and how many of them wait for it.
    """

    since_s: float
    cause: WaitCause
    tasks: int


def find_unfinished_wait(
    vms: Mapping[str, Vm], group: TaskGroup, now_s: float
) -> UnfinishedWait | None:
    """Return the oldest wait of a group without tasks to place; `None` if all its tasks run."""
    waits = sorted(_waits(vms, group, now_s), key=lambda wait: wait[0])
    if not waits:
        return None
    since_s, cause = waits[0]
    return UnfinishedWait(since_s, cause, sum(each is cause for _, each in waits))


def _waits(
    vms: Mapping[str, Vm], group: TaskGroup, now_s: float
) -> Iterator[tuple[float, WaitCause]]:
    for claim in group.claims.values():
        yield claim.since_s, WaitCause.CLAIMED
    for attempt in group.active_attempts():
        if attempt.task.index in group.done:
            continue
        vm = vms.get(attempt.vm_id)
        if attempt.phase is AttemptPhase.STOPPING:
            attempt.stopping_since_s = attempt.stopping_since_s or now_s
            yield attempt.stopping_since_s, WaitCause.STOP
        elif attempt.phase is AttemptPhase.ORDERED:
            cause = WaitCause.RECORD if attempt.awaits_record else WaitCause.START
            yield attempt.ordered_s, cause
        elif vm is not None and vm.unreachable_since_s is not None:
            yield vm.unreachable_since_s, WaitCause.LEASE
    if group.lacks_members():
        group.incomplete_since_s = group.incomplete_since_s or now_s
        yield group.incomplete_since_s, WaitCause.MEMBERS
    else:
        group.incomplete_since_s = None
