"""A job and its steps as a caller submits them."""

from __future__ import annotations

import msgspec

TASK_LIMIT = 10_000
"""Most tasks of one job over all its steps and occurrences that are held in memory."""


class Step(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Tasks of one kind.

    Parameters
    ----------
    tasks
        How many tasks it has.
    cpu_millis, memory_mb, accelerators
        What each task takes, in thousandths of a core, megabytes and accelerators.
    estimate_s
        Declared run time of a task; may be far off.
    after
        Steps that must be done before.
    checkpointable
        Whether its tasks can go on from a checkpoint.
    gang
        Whether its tasks work only together.
    rack_sensitive
        Whether a gang on more than one rack is slowed down.
    label
        Label that the VM must have; empty for any.
    data_rack
        Rack on which it is fast; empty for any.
    per_vm_limit
        Most tasks of one occurrence on one VM; 0 for any number.
    duplicates_allowed
        Whether copies of a task may run side by side.
    long_running
        Whether its tasks run until the job is cancelled.
    image
        Name of what the tasks run.
    latency_target_ms
        Bound on the tail latency of a lasting task; 0 for none.
    uses_spare_cpu
        Whether it runs on processor time that others leave unused.
    disruption_budget
        Tasks of a lasting step that planned actions may take away at once.
    """

    tasks: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpointable: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    label: str = ""
    data_rack: str = ""
    per_vm_limit: int = 0
    duplicates_allowed: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    uses_spare_cpu: bool = False
    disruption_budget: int = 0


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job that was accepted.

    Parameters
    ----------
    job_id
        Name that the caller has chosen.
    queue, service, customer
        Where it was submitted, who runs it, and for whom; no customer where the queue needs no key.
    command
        What its tasks are told to run.
    steps
        Its steps.
    occurrences
        How often the steps run; 0 for once, at once.
    first_due_s, interval_s
        When the first occurrence is due, in seconds since 1970, and the time between two.
    accepted_s
        When it was accepted, in seconds since 1970.
    """

    job_id: str
    queue: str
    service: str
    customer: str
    command: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0
    accepted_s: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """How often its steps run."""
        return max(1, self.occurrences)

    @property
    def has_schedule(self) -> bool:
        """Whether its occurrences wait for a time."""
        return self.occurrences > 0

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence may start, in seconds since 1970."""
        if not self.has_schedule:
            return self.accepted_s
        return self.first_due_s + occurrence * self.interval_s


def find_validation_error(job: Job) -> str:
    """Return what is wrong with the shape of a job, or an empty text."""
    if not job.steps:
        return "The job has no steps."
    if sum(step.tasks for step in job.steps) * job.occurrence_count > TASK_LIMIT:
        return f"The job has more than {TASK_LIMIT} tasks."
    for number, step in enumerate(job.steps):
        if step.tasks < 1:
            return f"Step {number} has no tasks."
        if min(step.cpu_millis, step.memory_mb, step.accelerators, step.per_vm_limit) < 0:
            return f"Step {number} asks for less than nothing."
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"Step {number} waits for a step that does not come before it."
    return ""
