"""Summary of the owner's work and capacity, from which entries estimate when a job could end."""

from __future__ import annotations

from typing import Any

import msgspec

from briardeal_core.events import Event, log_event

MAX_SUMMARY_AGE_S = 3.0
"""Age beyond which a summary decides nothing; the owner makes one each second."""

MAX_SERVICES = 16
MAX_CLASSES = 8
MAX_BANDS = 8
MAX_SHAPES = 12
MAX_LABELS = 32
MAX_CUSTOMERS = 64
MAX_NAME_CHARS = 64
"""Limits of a summary. What is left out of it is not judged, so that its jobs are accepted."""

MAX_SUMMARY_BYTES = 16_384
"""Largest encoded summary that is sent: at most 26 ms of a link of 5 Mbit/s, once a second."""

MAX_CLOCK_DRIFT = 1e-3
"""Rate at which two clocks may drift apart: a time service changes the rate of each by up to 500
millionths. Without it, summaries would look too old after some hours under one owner."""

SERVED_LAST_S = 1e9
"""Time until its turn of a job that is served after all others of its priority."""


class WaitingWork(msgspec.Struct, frozen=True, array_like=True):
    """Waiting work of jobs that are served one after the other.

    Parameters
    ----------
    last_in_s
        Time of the last of the jobs in the order of service, in seconds after the summary was
        made; a job of the priority with a later time is served after all of them.
    core_s
        Declared work of the tasks that can start one by one, in core-seconds.
    gang_core_s
        Declared work of gangs, in core-seconds.
    jobs
        Number of jobs.
    accelerator_core_s, gang_accelerator_core_s
        The part of that work which is on accelerators, in core-seconds.
    """

    last_in_s: float
    core_s: float
    gang_core_s: float
    jobs: int
    accelerator_core_s: float = 0.0
    gang_accelerator_core_s: float = 0.0


class ClassSummary(msgspec.Struct, frozen=True, array_like=True):
    """Work of one priority.

    Parameters
    ----------
    priority
        Priority of the jobs.
    waiting
        Work that waits, in the order in which it is served.
    running_core_s
        Work left of running tasks by their measured pace, at most one run time of their step, in
        core-seconds.
    held_cores
        Cores of tasks that run until they are cancelled.
    task_s
        Mean declared run time of the tasks waiting and running, weighted by their work.
    ratio, spread, samples
        Measured run times as a multiple of the declared ones: median, standard deviation of the
        logarithm, and the number of jobs that it is known from; older ones count less.
    done_cores
        Work completed per second, in cores.
    running_accelerator_core_s
        The part of the work left of running tasks which is on accelerators, in core-seconds.
    """

    priority: int
    waiting: tuple[WaitingWork, ...]
    running_core_s: float
    held_cores: float
    task_s: float
    ratio: float
    spread: float
    samples: float
    done_cores: float
    running_accelerator_core_s: float = 0.0


class VmShape(msgspec.Struct, frozen=True, array_like=True):
    """Equal VMs that have existed over the last minutes.

    Parameters
    ----------
    cpu_millis, memory_mb, accelerators
        Capacity of each.
    count
        Number of VMs.
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int
    count: int


class LabelledVms(msgspec.Struct, frozen=True, array_like=True):
    """VMs with a label.

    Parameters
    ----------
    label
        Label of the VMs.
    counts
        Number of VMs by the position of their shape.
    """

    label: str
    counts: tuple[tuple[int, int], ...]


class ServiceSummary(msgspec.Struct, frozen=True, array_like=True):
    """Work and capacity of one service.

    Parameters
    ----------
    service
        Name of the service.
    cores, most_cores
        Capacity that can be counted on, and the largest one of the last minute, in cores with
        accelerators converted to cores.
    share_cores
        Capacity by which the owner converts the work of a job to its time in the order of service.
    classes
        Work by priority.
    known_s
        Time for which the owner has known the VMs and all starts, in seconds.
    shapes, labels
        VMs that have existed over the last minutes, all and by label.
    all_shapes, all_labels
        Whether no shape, and no label, has been left out.
    most_accelerator_cores
        The largest capacity of accelerators of the last minute, in cores; 0 if it is not known.
    """

    service: str
    cores: float
    most_cores: float
    share_cores: float
    classes: tuple[ClassSummary, ...]
    known_s: float
    shapes: tuple[VmShape, ...]
    labels: tuple[LabelledVms, ...]
    all_shapes: bool
    all_labels: bool
    most_accelerator_cores: float = 0.0


class AdmissionSummary(msgspec.Struct, frozen=True, array_like=True):
    """Work and capacity of all services.

    Parameters
    ----------
    made_s
        When the summary was made, on the clock of the owner's event loop.
    services
        Services with VMs.
    asked
        Accelerators that the unfinished jobs of priority 0 ask for, by customer with a guarantee.
    all_asked
        Whether no such customer has been left out.
    """

    made_s: float
    services: tuple[ServiceSummary, ...]
    asked: tuple[tuple[str, int], ...] = ()
    all_asked: bool = True

    def service(self, name: str) -> ServiceSummary | None:
        """Return the summary of a service; `None` if it is not listed."""
        return next((each for each in self.services if each.service == name), None)

    def asked_by(self, customer: str) -> int | None:
        """Return the accelerators that a customer asks for; `None` if that is not known."""
        for name, accelerators in self.asked:
            if name == customer:
                return accelerators
        return 0 if self.all_asked else None


def encoded_bytes(summary: AdmissionSummary) -> int:
    """Return the size of a summary in a message."""
    return len(msgspec.json.encode(summary))


class SummaryCache:
    """Newest summary that an entry has received from the owner that it watches.

    The age of a summary counts from when it was made. The difference between the clocks of the
    owner and of this entry is that of the summary which was under way for the shortest time, and
    may grow by the drift of the clocks since.

    Attributes
    ----------
    epoch
        Fencing token of the owner that the summary is from.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self._summary: AdmissionSummary | None = None
        self._clock_difference_s = 0.0
        self._recorded_s = 0.0

    def record(self, epoch: int, content: Any, now_s: float) -> None:
        """Record the content of a heartbeat's summary; one that can't be read removes the last."""
        if epoch != self.epoch:
            self.epoch, self._summary = epoch, None
            self._clock_difference_s = float("inf")
        if content is None:
            return
        try:
            summary = msgspec.convert(content, AdmissionSummary)
        except msgspec.ValidationError as error:
            self._summary = None
            log_event(Event.ADMISSION_UNREADABLE, epoch=epoch, detail=str(error))
            return
        self._summary = summary
        drift_s = MAX_CLOCK_DRIFT * max(0.0, now_s - self._recorded_s)
        self._recorded_s = now_s
        largest_s = self._clock_difference_s + drift_s
        self._clock_difference_s = min(largest_s, now_s - summary.made_s)

    def find(self, epoch: int, now_s: float) -> AdmissionSummary | None:
        """Return the summary of an owner; `None` if there is none that is recent enough."""
        if self._summary is None or epoch != self.epoch:
            return None
        age_s = now_s - self._summary.made_s - self._clock_difference_s
        return self._summary if age_s <= MAX_SUMMARY_AGE_S else None
