"""Jobs and their steps as submitted by callers."""

from __future__ import annotations

import msgspec

ACCELERATOR_CORES = 8
"""Cores that one accelerator counts as when work is compared, from the users' price list."""

TASK_LIMIT = 10_000
"""Largest number of tasks of one job over all steps and occurrences; all are stored in memory."""


class Step(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """One step of a job: a number of equal tasks.

    Parameters
    ----------
    tasks
        Number of tasks.
    cpu_millis, memory_mb, accelerators
        Resources of each task: thousandths of a core, megabytes and number of accelerators.
    estimate_s
        Declared run time of a task in seconds; may be far off.
    after
        Numbers of the steps that must be complete before this step starts.
    checkpointable
        Whether tasks can resume from a checkpoint.
    gang
        Whether the tasks can only run all at the same time.
    rack_sensitive
        Whether a gang runs more slowly on more than one rack.
    label
        Label that a VM must have to run the tasks; empty for any VM.
    data_rack
        Rack on which the tasks run fastest, as their data is stored there; empty for any.
    per_vm_limit
        Maximum number of tasks of one occurrence on one VM; 0 for no limit.
    duplicates_allowed
        Whether copies of a task may run at the same time.
    long_running
        Whether tasks run until the job is cancelled.
    image
        Name of the image that the tasks run.
    latency_target_ms
        Upper limit on the tail latency of a long-running task in milliseconds; 0 for none.
    uses_spare_cpu
        Whether tasks run on processor time that other tasks leave unused.
    disruption_budget
        Number of tasks of a long-running step that may be down for planned actions at once.
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

    @property
    def task_cores(self) -> float:
        """Cores that a task occupies, with accelerators converted to cores."""
        cpu_millis = 0 if self.uses_spare_cpu else self.cpu_millis
        return cpu_millis / 1000 + ACCELERATOR_CORES * self.accelerators


class JobTerms(msgspec.Struct, frozen=True, array_like=True):
    """Terms of a queue under which a job was accepted.

    They hold while the queue is not configured, also for an owner that has never seen it.

    Parameters
    ----------
    priority, failure_limit, stretch_limit, latency_target_s
        As in `Queue`.
    """

    priority: int
    failure_limit: int
    stretch_limit: float
    latency_target_s: float


UNKNOWN_TERMS = JobTerms(100, 1000, 1.0, 0.0)
"""Terms of a job whose record does not contain any: it preempts no other job and practically never
fails until its queue is configured again. Earlier versions wrote such records."""


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a caller.

    Parameters
    ----------
    job_id
        ID of the job, chosen by the caller.
    queue, service, customer
        Queue of the job, service that runs it, and customer; the customer is empty if the queue
        needs no key.
    command
        Command that the tasks run.
    steps
        Steps of the job.
    occurrences
        Number of scheduled runs of the steps; 0 to run them once, immediately.
    first_due_s, interval_s
        When the first occurrence is due, in seconds since 1970, and the interval between
        occurrences in seconds.
    accepted_s
        When the job was accepted, in seconds since 1970.
    terms
        Terms of its queue when it was accepted.
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
    terms: JobTerms = UNKNOWN_TERMS

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.occurrences)

    @property
    def has_schedule(self) -> bool:
        """Whether occurrences are due at scheduled times."""
        return self.occurrences > 0

    def is_due(self, occurrence: int, wall_s: float) -> bool:
        """Return whether an occurrence may start at a time of day, in seconds since 1970.

        A job without a schedule may always start: the time of its acceptance was read on the clock
        of another process, which may be ahead.
        """
        return not self.has_schedule or self.due_s(occurrence) <= wall_s

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence should start, in seconds since 1970."""
        if not self.has_schedule:
            return self.accepted_s
        return self.first_due_s + occurrence * self.interval_s


def find_validation_error(job: Job) -> str:
    """Return why a job is invalid; empty if it is valid."""
    if not job.steps:
        return "The job has no steps."
    if sum(step.tasks for step in job.steps) * job.occurrence_count > TASK_LIMIT:
        return f"The job has more than {TASK_LIMIT} tasks."
    for number, step in enumerate(job.steps):
        if step.tasks < 1:
            return f"Step {number} has no tasks."
        if min(step.cpu_millis, step.memory_mb, step.accelerators, step.per_vm_limit) < 0:
            return f"Step {number} has a negative resource request or limit per VM."
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"Step {number} depends on a step that does not precede it."
    return ""
