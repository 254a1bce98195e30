"""VMs of a service and the room that they have."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._attempts import AttemptPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.model import GroupId, Step, TaskId
    from briardeal_workflow.planning._attempts import Attempt

ACCELERATOR_CORES = 8
"""Cores that an accelerator counts as where work is compared, by the users' price list."""

QUARANTINE_S = 6.0
"""Time for which a VM that fails tasks gets none at first; trouble lasts 5 to 10 s. It doubles with
each time that the VM fails again before it has done any task."""

QUARANTINE_LIMIT_S = 48.0
"""Longest such time, so that a VM that has been mended is back within a minute."""

QUARANTINE_FAILURES = 2
"""Failed tasks in a row after which a VM is distrusted; single ones are often the task's fault."""

LIST_INTERVAL_S = 1.0
"""Time between two lists of a VM that is heard, as its agent tells them."""

LIST_GAP_S = 2.0
"""Longest time between two lists of a VM that is heard: reports come each 1.2 s at most, with lists
that are up to 0.8 s old."""


@attrs.frozen
class Resources:
    """What one task takes of a VM.

    Parameters
    ----------
    cpu_millis, memory_mb, accelerators
        In thousandths of a core, megabytes and accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of_task(cls, step: Step) -> Resources:
        """Return what a task of a step takes; one that fills takes no processor time of its own."""
        return cls(0 if step.fills else step.cpu_millis, step.memory_mb, step.accelerators)

    @property
    def core_equivalents(self) -> float:
        """Its size in cores."""
        return self.cpu_millis / 1000 + ACCELERATOR_CORES * self.accelerators

    def plus(self, other: Resources) -> Resources:
        """Return what both take."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left without another."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether it fits in a room."""
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
        Its name, and one that is different after every restart of its worker.
    service
        Service that it works for.
    capacity
        What it has.
    labels
        Its labels, the name of its rack among them.
    rack, failure_domain
        Where it stands.
    leaving
        Whether it takes no new work.
    """

    vm_id: str
    incarnation: str
    service: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    failure_domain: str = ""
    leaving: bool = False


@attrs.define(eq=False)
class Vm:
    """A VM and what runs on it.

    Attributes
    ----------
    shape
        What it is.
    attempts
        TaskStarter that take its room, by task and number.
    claims
        Room that tasks will take once others have left.
    in_reach
        Whether its agent is heard.
    held_until_s
        Until when its work may go on unheard, on the loop's clock.
    consecutive_failures, last_failure_s
        Tasks that failed on it in a row, and when the last of them did.
    early_failure_jobs
        Jobs that had a task fail on it right after its start since a task was done on it.
    quarantined_until_s, quarantine_count
        Until when it gets no work while others can, and how often that was so in a row.
    missing_since_s
        When starts were first missing in its lists.
    listed_s
        When it last told what it runs.
    reserved_for, reserved_until_s
        Group that alone may start tasks on it, and until when.
    """

    description: VmDescription
    attempts: dict[tuple[TaskId, int], Attempt] = attrs.field(factory=dict)
    claims: dict[TaskId, Resources] = attrs.field(factory=dict)
    in_reach: bool = True
    held_until_s: float = 0.0
    consecutive_failures: int = 0
    last_failure_s: float = float("-inf")
    early_failure_jobs: set[str] = attrs.field(factory=set)
    quarantined_until_s: float = float("-inf")
    quarantine_count: int = 0
    missing_since_s: dict[tuple[TaskId, int], float] = attrs.field(factory=dict)
    listed_s: float = 0.0
    reserved_for: GroupId | None = None
    reserved_until_s: float = float("-inf")

    @property
    def vm_id(self) -> str:
        """Name of the VM."""
        return self.description.vm_id

    @property
    def accepts_tasks(self) -> bool:
        """Whether it takes new work."""
        return self.in_reach and not self.description.leaving

    def unclaimed_capacity(self) -> Resources:
        """Return what nothing takes and nothing has claimed."""
        return self._capacity_without(self.attempts.values()).minus(_total(self.claims.values()))

    def free_capacity(self) -> Resources:
        """Return what nothing takes, claimed or not."""
        return self._capacity_without(self.attempts.values())

    def expected_capacity(self) -> Resources:
        """Return what is left once all that was told to stop has stopped."""
        staying = (
            each for each in self.attempts.values() if each.phase is not AttemptPhase.STOPPING
        )
        return self._capacity_without(staying).minus(_total(self.claims.values()))

    def task_count(self, group: tuple[str, int, int]) -> int:
        """Return how many tasks of a group it runs or will run."""
        running = {task for task, _ in self.attempts if task[:3] == group}
        return len(running | {task for task in self.claims if task[:3] == group})

    def reserve_for(self, group: GroupId, until_s: float) -> None:
        """Let only one group start tasks on it until then."""
        self.reserved_for, self.reserved_until_s = group, until_s

    def is_reserved_for_other(self, group: GroupId, now_s: float) -> bool:
        """Return whether it is kept for another group."""
        return self.reserved_until_s > now_s and self.reserved_for != group

    def is_healthy(self, now_s: float) -> bool:
        """Return whether it may get work while others can."""
        return self.quarantined_until_s <= now_s

    def record_success(self, started_s: float) -> None:
        """Note that a task was done on it; one that began before the last failure tells nothing."""
        if started_s > self.last_failure_s:
            self.consecutive_failures = self.quarantine_count = 0
            self.early_failure_jobs.clear()
            self.quarantined_until_s = float("-inf")

    def record_failure(self, now_s: float, *, vm_at_fault: bool) -> bool:
        """Note that a task failed on it and return whether it is distrusted from now on.

        Parameters
        ----------
        vm_at_fault
            Whether this failure alone shows that the VM is at fault.
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
        """Note when it listed what it runs; a gap before says nothing of the progress of work."""
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
