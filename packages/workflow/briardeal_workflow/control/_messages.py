"""Messages between entries and agents, and between the owner and other entries."""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from briardeal_workflow.model import TaskId

UNKNOWN_RUN_MS = 3_600_000
"""Run time of a task whose start the agent has not seen, in milliseconds."""


class VmState(msgspec.Struct, frozen=True, array_like=True):
    """Properties of a VM, as its worker reports them.

    Parameters
    ----------
    incarnation
        Different after every restart of the worker.
    service, failure_domain, rack
        Service that the VM belongs to, and its location.
    cpu_millis, memory_mb, accelerators
        Capacity of the VM in thousandths of a core, megabytes and accelerators.
    labels
        Labels that steps may require.
    leaving
        Whether the VM accepts no new tasks.
    leaving_in_s
        Time for which a leaving VM remains at least, in seconds; 0 if its worker does not say it.
    leaving_for_s
        Time since its agent first knew that it leaves, in seconds.
    region
        Region of the VM; empty if its agent does not know it, or belongs to an earlier version.
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
    leaving_in_s: float = 0.0
    leaving_for_s: float = 0.0
    region: str = ""


class ListedTask(msgspec.Struct, frozen=True, array_like=True):
    """A running task.

    Parameters
    ----------
    task, number
        Identifier of the task, and number of the attempt.
    checkpoint
        Newest checkpoint; empty if there is none.
    percent
        Progress in percent.
    load
        Approximate value over the last 0.5 s: tail latency in milliseconds for a long-running task
        with a latency target, processor time in use for any other task.
    ran_ms
        Time since the start order, in milliseconds; `UNKNOWN_RUN_MS` if the agent was started
        after the task, or belongs to an earlier version.
    """

    task: TaskId
    number: int
    checkpoint: str
    percent: int
    load: float
    ran_ms: int = UNKNOWN_RUN_MS


class EndedTask(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that has ended.

    Parameters
    ----------
    position
        Number of the attempt in the order in which attempts ended, per incarnation of the worker.
    task, number
        Identifier of the task, and number of the attempt.
    end
        Outcome of the attempt, as the worker names it.
    checkpoint
        Last checkpoint; empty if there is none.
    """

    position: int
    task: TaskId
    number: int
    end: str
    checkpoint: str


class CrashedTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that ran on a worker when the worker crashed.

    Parameters
    ----------
    task, number
        Identifier of the task, and number of the attempt.
    ran_ms
        Time from the start order to the crash, in milliseconds; `UNKNOWN_RUN_MS` if the agent was
        started after the task.
    """

    task: TaskId
    number: int
    ran_ms: int


class WorkerCrash(msgspec.Struct, frozen=True, array_like=True):
    """End of a worker without notice, seen by the agent beside it.

    Parameters
    ----------
    incarnation
        Incarnation of the worker.
    age_ms
        Time since the crash, in milliseconds.
    tasks
        Tasks that ran on the worker or may have been started on it.
    """

    incarnation: str
    age_ms: int
    tasks: tuple[CrashedTask, ...]


class AgentHello(msgspec.Struct, frozen=True, tag="agent"):
    """First message of an agent on a connection that it opened."""

    agent_id: str


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Heartbeat of an agent.

    Parameters
    ----------
    sequence
        Number of the heartbeat or report.
    epoch
        Fencing token of the owner that the agent follows.
    owner_age_ms
        Time since the agent sent the newest message that this owner acknowledged while it was
        planning, in milliseconds; -1 if there is none. Agents of an earlier version don't say it.
    """

    sequence: int
    epoch: int
    owner_age_ms: int = -1


class VmReport(msgspec.Struct, frozen=True, tag="report"):
    """Report of an agent to the owner on its VM and tasks.

    Parameters
    ----------
    sequence
        Number of the heartbeat or report.
    epoch
        Fencing token of the owner that the agent followed when it read the task lists.
    vm
        Properties of the VM; `None` while its worker is unreachable.
    running, ended
        Running tasks, and ended attempts whose outcome is not known to be stored yet.
    unsettled
        Task and attempt number of start orders whose outcome is not known yet.
    idle
        Whether the lease of the worker has expired, so that it runs nothing.
    age_ms
        Age of the task lists, in milliseconds.
    crashes
        Recent crashes of the worker; repeated, since an owner may not have stored them.
    generation
        Generation of the worker, from the owner, under which the task lists were read; -1 from
        agents of an earlier version.
    pace
        Relative pace of the VM in percent, as an owner last acknowledged it; 0 if none is known,
        and from agents of an earlier version.
    """

    sequence: int
    epoch: int
    vm: VmState | None
    running: tuple[ListedTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    unsettled: tuple[tuple[TaskId, int], ...] = ()
    idle: bool = False
    age_ms: int = 0
    crashes: tuple[WorkerCrash, ...] = ()
    generation: int = -1
    pace: int = 0


class StartOutcome(enum.StrEnum):
    """Outcome of a start order."""

    STARTED = "started"
    REFUSED = "refused"
    """The attempt did not start and never will."""


class StartResult(msgspec.Struct, frozen=True, tag="settled"):
    """Report of an agent on the outcome of a start order.

    Parameters
    ----------
    epoch
        Fencing token of the owner that sent the order.
    task, number
        Identifier of the task, and number of the attempt.
    outcome, reason
        Whether the attempt has started, and why it was refused.
    """

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
        Name of the entry.
    entries
        Control addresses of all known entries.
    """

    entry_id: str
    entries: tuple[str, ...]


class OwnerAnnouncement(msgspec.Struct, frozen=True, tag="lead", omit_defaults=True):
    """Announces an owner to an agent and asks for a report under its fencing token.

    Parameters
    ----------
    epoch
        Fencing token of the owner.
    generation
        Number of incarnations of the agent's worker that this owner has known before the present
        one; owners of an earlier version don't say it.
    """

    epoch: int
    generation: int = 0


class Acknowledge(msgspec.Struct, frozen=True, tag="ack", omit_defaults=True):
    """Response to a heartbeat or a report.

    Parameters
    ----------
    sequence
        Number of the heartbeat or report.
    epoch
        Fencing token of the owner that extends the lease; 0 if the lease is not extended.
    incarnation, ends_kept
        Incarnation of the worker, and position up to which the outcomes of its ended attempts are
        stored.
    entries
        Control addresses of all entries if they have changed; empty otherwise.
    plans
        Whether the entry owns the jobs under the token of the message, completes planning rounds
        and has the store.
    pace
        Relative pace of the VM in percent, which the agent repeats in its reports; 0 if the owner
        has no estimate, and from owners of an earlier version.
    """

    sequence: int
    epoch: int = 0
    incarnation: str = ""
    ends_kept: int = 0
    entries: tuple[str, ...] = ()
    plans: bool = False
    pace: int = 0


class StartOrder(msgspec.Struct, frozen=True, tag="start", omit_defaults=True):
    """Order to start an attempt.

    Parameters
    ----------
    epoch
        Fencing token of the owner.
    task, number
        Identifier of the task, and number of the attempt.
    command
        Command that the worker runs.
    checkpoint
        Checkpoint to resume from; empty to start from the beginning.
    ticket
        Ticket that is passed on to the worker; empty for none.
    incarnation
        Incarnation of the worker for which the start was decided; empty in orders of an earlier
        version, which any incarnation carries out.
    repeated
        Whether the order may have been sent before, so that an earlier agent of the VM may have
        called the worker.
    """

    epoch: int
    task: TaskId
    number: int
    command: str
    checkpoint: str = ""
    ticket: str = ""
    incarnation: str = ""
    repeated: bool = False


class StopOrder(msgspec.Struct, frozen=True, tag="stop"):
    """Order to stop an attempt, or to prevent its start."""

    epoch: int
    task: TaskId
    number: int


class WatchRequest(msgspec.Struct, frozen=True, tag="join"):
    """First message of an entry that watches the owner; sent again when `can_take_over` changes.

    Parameters
    ----------
    entry_id
        Name of the entry.
    can_take_over
        Whether the entry could plan at once if it owned the jobs. Entries of an earlier version
        don't say so and count as able.
    """

    entry_id: str
    can_take_over: bool = True


class OwnerHeartbeat(msgspec.Struct, frozen=True, tag="owner"):
    """Heartbeat of an entry that says whether it is the owner.

    Parameters
    ----------
    epoch
        Fencing token of the owner; 0 if this entry is not the owner.
    store_failing_s
        Time for which appends of the owner to the store have failed, in seconds.
    planning_age_s
        Time since the owner completed a planning round, in seconds; since its claim before the
        first one. Longer if the owner has been unable to read new jobs for some time.
    heard_agents
        Number of agents that the owner hears; -1 if an owner of an earlier version doesn't say it.
    admission
        New `AdmissionSummary`; `None` if there is none since the last heartbeat on the connection.
        It is decoded apart from the heartbeat, so that one of another version, which can't be read,
        does not look like a silent owner.
    """

    epoch: int
    store_failing_s: float = 0.0
    planning_age_s: float = 0.0
    heard_agents: int = -1
    admission: Any = None
