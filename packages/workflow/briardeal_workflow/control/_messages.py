"""The messages."""

from __future__ import annotations

import enum

import msgspec

from briardeal_workflow.model import TaskId


class VmState(msgspec.Struct, frozen=True, array_like=True):
    """A VM as its worker describes it.

    Parameters
    ----------
    incarnation
        Different after every restart of the worker.
    service, failure_domain, rack
        For whom it works and where it stands.
    cpu_millis, memory_mb, accelerators
        What it has.
    labels
        Its labels.
    leaving
        Whether it takes no new work.
    """

    incarnation: str
    service: str
    failure_domain: str
    rack: str
    cpu_millis: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    leaving: bool


class ListedTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that runs: its name, number of its start, checkpoint, percentage and load."""

    task: TaskId
    number: int
    checkpoint: str
    percent: int
    load: float


class EndedTask(msgspec.Struct, frozen=True, array_like=True):
    """A start that is over.

    Parameters
    ----------
    position
        Its number among the ends of this incarnation of the worker.
    task, number
        What ended.
    end
        How.
    checkpoint
        What it left; empty for none.
    """

    position: int
    task: TaskId
    number: int
    end: str
    checkpoint: str


class AgentHello(msgspec.Struct, frozen=True, tag="agent"):
    """First message of an agent on a connection that it opened."""

    agent_id: str


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Says that an agent lives; `epoch` is that of the owner it follows."""

    sequence: int
    epoch: int


class VmReport(msgspec.Struct, frozen=True, tag="report"):
    """What a VM runs, told to the owner.

    Parameters
    ----------
    sequence
        Number of the beat or report.
    epoch
        Fencing token of the owner that the lists were read under.
    vm
        The VM; `None` while its worker is not heard.
    running, ended
        What it runs, and the ends that are not known to be kept.
    unsettled
        Starts that were ordered and of which the outcome is open.
    idle
        Whether the hold of the worker has run out, so that it runs nothing.
    age_ms
        Time since the worker gave the lists, in milliseconds.
    """

    sequence: int
    epoch: int
    vm: VmState | None
    running: tuple[ListedTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    unsettled: tuple[tuple[TaskId, int], ...] = ()
    idle: bool = False
    age_ms: int = 0


class StartOutcome(enum.StrEnum):
    """What became of an order to start."""

    STARTED = "started"
    REFUSED = "refused"
    """It did not start and never will."""


class StartResult(msgspec.Struct, frozen=True, tag="settled"):
    """Tells what became of an order to start."""

    epoch: int
    task: TaskId
    number: int
    outcome: StartOutcome
    reason: str = ""


class EntryHello(msgspec.Struct, frozen=True, tag="entry"):
    """Answer of an entry to the first message on a connection.

    Parameters
    ----------
    entry_id
        Its name.
    entries
        Control addresses of all entries that it knows.
    """

    entry_id: str
    entries: tuple[str, ...]


class OwnerAnnouncement(msgspec.Struct, frozen=True, tag="lead"):
    """Tells an agent that this entry is the owner and wants a report under its token."""

    epoch: int


class Acknowledge(msgspec.Struct, frozen=True, tag="ack", omit_defaults=True):
    """Answers a beat or a report.

    Parameters
    ----------
    sequence
        Number of the beat or report.
    epoch
        Fencing token of the owner that extends the hold; 0 from any other entry.
    incarnation, ends_kept
        Ends of this incarnation of the worker up to this number are kept.
    entries
        Control addresses of all entries, where they have changed.
    """

    sequence: int
    epoch: int = 0
    incarnation: str = ""
    ends_kept: int = 0
    entries: tuple[str, ...] = ()


class StartOrder(msgspec.Struct, frozen=True, tag="start", omit_defaults=True):
    """Orders a start."""

    epoch: int
    task: TaskId
    number: int
    command: str
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(msgspec.Struct, frozen=True, tag="stop"):
    """Orders that a start ends, or never takes effect."""

    epoch: int
    task: TaskId
    number: int


class WatchRequest(msgspec.Struct, frozen=True, tag="join"):
    """First message of an entry that watches the owner."""

    entry_id: str


class OwnerHeartbeat(msgspec.Struct, frozen=True, tag="owner"):
    """Says whether an entry owns the jobs.

    Parameters
    ----------
    epoch
        Its fencing token; 0 where it is not the owner.
    store_failing_s
        For how long the store has not taken its appends, in seconds.
    """

    epoch: int
    store_failing_s: float = 0.0
