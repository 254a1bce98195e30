"""VMs of a service and their capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.model import ACCELERATOR_CORES
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._paces import PaceClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.model import Step, TaskGroupId, TaskId
    from briardeal_workflow.planning._attempts import Attempt

QUARANTINE_S = 6.0
"""First quarantine of a VM on which tasks fail; faults usually last 5 to 10 s. The time doubles
with each new quarantine until a task completes on the VM."""

QUARANTINE_LIMIT_S = 48.0
"""Longest quarantine, so that a repaired VM is used again within a minute."""

QUARANTINE_FAILURES = 2
"""Consecutive failed tasks after which a VM is quarantined; a single failure is often the task's
fault."""

LIST_INTERVAL_S = 1.0
"""Interval at which the agent of a reachable VM reports its task list."""

LIST_GAP_S = 2.0
"""Longest time between two task lists of a reachable VM: reports arrive at most 1.2 s apart, and
their lists are up to 0.8 s old."""


PUT_OFF_S = 2.0
"""Difference of two announced times beyond which a VM has put its departure off; reports are
delayed by less."""


@attrs.frozen
class Resources:
    """Amounts of processor time, memory and accelerators.

    Parameters
    ----------
    cpu_millis, memory_mb, accelerators
        Amounts in thousandths of a core, in megabytes, and number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of_task(cls, step: Step) -> Resources:
        """Return the resources of a task; a step on spare processor time reserves none."""
        return cls(0 if step.uses_spare_cpu else step.cpu_millis, step.memory_mb, step.accelerators)

    @property
    def core_equivalents(self) -> float:
        """Size in cores, with accelerators converted to cores."""
        return self.cpu_millis / 1000 + ACCELERATOR_CORES * self.accelerators

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference of both amounts."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether no amount exceeds the given capacity."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


NO_RESOURCES = Resources()


@attrs.frozen
class VmDescription:
    """A VM as its agent describes it.

    Parameters
    ----------
    vm_id, incarnation
        Name of the VM, and an identifier that changes with every restart of its worker.
    service
        Service whose tasks the VM runs.
    capacity
        Total resources of the VM.
    labels
        Labels of the VM, including the name of its rack.
    rack, failure_domain, region
        Location of the VM; the region is empty if it is not known.
    leaving
        Whether the VM accepts no new tasks because it is about to be removed.
    leaving_in_s, leaving_for_s
        Time for which it remains at least, in seconds, 0 if it does not say so, and time since its
        announcement. They differ in each report, so that descriptions are compared without them.
    """

    vm_id: str
    incarnation: str
    service: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    failure_domain: str = ""
    leaving: bool = False
    leaving_in_s: float = attrs.field(default=0.0, eq=False)
    leaving_for_s: float = attrs.field(default=0.0, eq=False)
    region: str = ""


@attrs.define(eq=False)
class Vm:
    """A VM and the attempts on it.

    Attributes
    ----------
    description
        VM as its agent describes it.
    leaves_s
        Until when a leaving VM remains at least, on the event loop's clock; `None` if it stays.
    attempts
        Attempts that occupy capacity, by task and attempt number.
    claims
        Resources claimed for tasks that start once other attempts have ended, by task.
    reachable, unreachable_since_s
        Whether its agent is connected and its worker answers, and since when that is not so, on the
        event loop's clock.
    lease_end_s
        Until when its tasks may run while it is unreachable, on the event loop's clock.
    consecutive_failures, last_failure_s
        Number of consecutive tasks that failed on the VM, and time of the last failure.
    early_failure_jobs
        Jobs of which a task failed right after its start, since a task last completed on the VM.
    quarantined_until_s, quarantine_count
        End of the quarantine, in which tasks go to other VMs if they fit there, and number of
        consecutive quarantines.
    missing_since_s
        When an attempt was first missing from the task list, by task and attempt number.
    listed_s
        Time of the newest task list.
    probation_of, probation_until_s
        The only group that may start tasks on the VM while one of them is on probation, and the end
        of the probation.
    unstable_until_s
        Until when the VM counts as unstable after a crash of its worker.
    reserved_for, reserved_until_s
        The only group that may start tasks on the VM, and the end of that reservation.
    evacuated_domains
        Failure domains in which no task may start.
    pace_class
        How the pace of the VM compares with the usual one.
    """

    description: VmDescription
    attempts: dict[tuple[TaskId, int], Attempt] = attrs.field(factory=dict)
    leaves_s: float | None = None
    claims: dict[TaskId, Resources] = attrs.field(factory=dict)
    reachable: bool = True
    unreachable_since_s: float | None = None
    lease_end_s: float = 0.0
    consecutive_failures: int = 0
    last_failure_s: float = float("-inf")
    early_failure_jobs: set[str] = attrs.field(factory=set)
    quarantined_until_s: float = float("-inf")
    quarantine_count: int = 0
    missing_since_s: dict[tuple[TaskId, int], float] = attrs.field(factory=dict)
    listed_s: float = 0.0
    probation_of: TaskGroupId | None = None
    probation_until_s: float = float("-inf")
    unstable_until_s: float = float("-inf")
    reserved_for: TaskGroupId | None = None
    reserved_until_s: float = float("-inf")
    evacuated_domains: frozenset[str] = frozenset()
    pace_class: PaceClass = PaceClass.USUAL

    @property
    def vm_id(self) -> str:
        """Name of the VM."""
        return self.description.vm_id

    @property
    def accepts_tasks(self) -> bool:
        """Whether new tasks may be placed on the VM."""
        description = self.description
        # Each placement asks this of all VMs, so it does without `evacuated`.
        is_evacuated = description.failure_domain in self.evacuated_domains
        return self.reachable and not description.leaving and not is_evacuated

    @property
    def evacuated(self) -> bool:
        """Whether operators have evacuated the failure domain of the VM."""
        return self.description.failure_domain in self.evacuated_domains

    def follow_departure(self, now_s: float, notice_s: float) -> None:
        """Record until when the VM remains by its newest description.

        Delays of reports make the time seem longer, so that the earliest time counts, unless the VM
        has put its departure off.

        Parameters
        ----------
        notice_s
            Time for which a VM remains at least after its announcement if it does not say it.
        """
        description = self.description
        if not description.leaving:
            self.leaves_s = None
            return
        stay_s = description.leaving_in_s or notice_s - description.leaving_for_s
        leaves_s = now_s + stay_s
        known = self.leaves_s
        if known is None or leaves_s < known or leaves_s > known + PUT_OFF_S:
            self.leaves_s = leaves_s

    def unclaimed_capacity(self) -> Resources:
        """Return the capacity that is neither occupied nor claimed."""
        return self._capacity_without(self.attempts.values()).minus(_total(self.claims.values()))

    def free_capacity(self) -> Resources:
        """Return the capacity that is not occupied, whether claimed or not."""
        return self._capacity_without(self.attempts.values())

    def expected_capacity(self) -> Resources:
        """Return the unclaimed capacity once all stopping attempts have ended."""
        staying = (
            each for each in self.attempts.values() if each.phase is not AttemptPhase.STOPPING
        )
        return self._capacity_without(staying).minus(_total(self.claims.values()))

    def task_count(self, group: tuple[str, int, int]) -> int:
        """Return how many tasks of a group run on the VM or have claimed it."""
        running = {task for task, _ in self.attempts if task[:3] == group}
        return len(running | {task for task in self.claims if task[:3] == group})

    def reserve_for(self, group: TaskGroupId, until_s: float) -> None:
        """Reserve the VM for one group until a given time."""
        self.reserved_for, self.reserved_until_s = group, until_s

    def release_reservation(self, group: TaskGroupId) -> None:
        """End the reservation of the VM if it is that of the given group."""
        if self.reserved_for == group:
            self.reserved_for, self.reserved_until_s = None, float("-inf")

    def is_reserved_for_other(self, group: TaskGroupId, now_s: float) -> bool:
        """Return whether the VM is reserved for another group."""
        return self.reserved_until_s > now_s and self.reserved_for != group

    def begin_probation(self, attempt: Attempt, until_s: float) -> None:
        """Keep other groups off the VM while a task that may crash it is on probation."""
        attempt.probation_until_s = until_s
        self.probation_of = attempt.task.group
        self.probation_until_s = max(self.probation_until_s, until_s)

    def shorten_probation(self) -> None:
        """Let other groups use the VM again once no attempt on probation is left."""
        self.probation_until_s = max(
            (each.probation_until_s for each in self.attempts.values() if each.on_probation),
            default=float("-inf"),
        )

    def has_survived_probation(self, attempt: Attempt) -> bool:
        """Return whether the VM has listed an attempt as running after the end of its probation."""
        return attempt.first_listed_s is not None and self.listed_s > attempt.probation_until_s

    def is_on_probation(self, group: TaskGroupId, now_s: float) -> bool:
        """Return whether a task of a group is on probation on the VM."""
        return self.probation_until_s > now_s and self.probation_of == group

    def is_closed_to(self, group: TaskGroupId, now_s: float) -> bool:
        """Return whether a task of another group is on probation on the VM."""
        return self.probation_until_s > now_s and self.probation_of != group

    def work_at_stake_core_s(self, now_s: float) -> float:
        """Return the work that would be lost if the worker crashed, in core-seconds."""
        return sum(attempt.unsaved_core_s(now_s) for attempt in self.attempts.values())

    def silent_s(self, now_s: float) -> float:
        """Return for how long the VM has been unreachable, in seconds."""
        return 0.0 if self.unreachable_since_s is None else now_s - self.unreachable_since_s

    def is_healthy(self, now_s: float) -> bool:
        """Return whether the VM is not in quarantine."""
        return self.quarantined_until_s <= now_s

    def record_success(self, ordered_s: float) -> None:
        """Record a completed task, unless it was ordered before the last failure on the VM."""
        if ordered_s > self.last_failure_s:
            self.consecutive_failures = self.quarantine_count = 0
            self.early_failure_jobs.clear()
            self.quarantined_until_s = float("-inf")

    def record_failure(self, now_s: float, *, vm_at_fault: bool) -> bool:
        """Record a failed task and return whether it puts the VM into quarantine.

        Parameters
        ----------
        vm_at_fault
            Whether this failure alone is attributed to the VM.
        """
        self.consecutive_failures += 1
        self.last_failure_s = now_s
        if not vm_at_fault and self.consecutive_failures < QUARANTINE_FAILURES:
            return False
        if not self.is_healthy(now_s):
            return False
        pause_s = min(QUARANTINE_S * 2**self.quarantine_count, QUARANTINE_LIMIT_S)
        self.quarantined_until_s = now_s + pause_s
        self.quarantine_count += 1
        return True

    def record_list_time(self, listed_s: float) -> None:
        """Record the time of a task list; exclude a long gap before it from the observed times."""
        gap_s = listed_s - self.listed_s
        if gap_s > LIST_GAP_S:
            for attempt in self.attempts.values():
                attempt.exclude_gap(gap_s, listed_s)
        self.listed_s = max(self.listed_s, listed_s)

    def _capacity_without(self, attempts: Iterable[Attempt]) -> Resources:
        return self.description.capacity.minus(_total(each.resources for each in attempts))


def _total(amounts: Iterable[Resources]) -> Resources:
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total
