"""Messages that an agent sends."""

from __future__ import annotations

import enum

import msgspec

from briardeal_core.jobs import WorkerShape


class EndpointState(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoint beside an agent.

    Parameters
    ----------
    service
        Service that it answers for.
    address
        Its `IP:PORT` for HTTP.
    incarnation
        Number that is higher after every start of the endpoint.
    slots, slots_in_use
        Requests that it takes at once, and those that it has.
    connections
        Connections that it takes at once.
    leaving
        Whether it takes no new work.
    """

    service: str
    address: str
    incarnation: int
    slots: int
    connections: int
    slots_in_use: int = 0
    leaving: bool = False


class WorkerState(msgspec.Struct, frozen=True, kw_only=True):
    """The worker beside an agent.

    Parameters
    ----------
    shape
        What the worker has and where it stands.
    fence
        Highest fencing token that the agent has seen.
    """

    shape: WorkerShape
    fence: int = 0


class TaskState(enum.StrEnum):
    """Where one task of a job stands on its agent."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"


class TaskStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one task.

    Parameters
    ----------
    job_id
        Job that the task belongs to.
    attempt
        Number of the start of that job, from 1.
    state
        Where the task stands.
    accelerators
        Accelerators that it holds.
    workers
        All workers of the gang, so that a new owner can rebuild the job from any member.
    checkpoint
        Name of the newest checkpoint; empty where there is none.
    run_s
        How long the task has run, in seconds.
    detail
        Why it failed or was refused.
    ran
        Whether the task may have run, be it for a moment.
    """

    job_id: str
    attempt: int
    state: TaskState
    accelerators: int = 0
    workers: tuple[str, ...] = ()
    checkpoint: str = ""
    run_s: float = 0.0
    detail: str = ""
    ran: bool = False


class AgentHello(msgspec.Struct, frozen=True, tag="agent_hello", kw_only=True):
    """First message of an agent on a new connection.

    Parameters
    ----------
    agent_id
        Name of the agent's VM.
    incarnation
        Number that is higher after every start of the agent.
    region, failure_domain
        Where it stands.
    endpoint, worker
        What stands beside it.
    tasks
        All tasks that it holds.
    """

    agent_id: str
    incarnation: int
    region: str
    failure_domain: str
    endpoint: EndpointState | None = None
    worker: WorkerState | None = None
    tasks: tuple[TaskStatus, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", kw_only=True, omit_defaults=True):
    """Renews the lease of an agent.

    Parameters
    ----------
    sequence
        Number of the heartbeat on its connection.
    endpoint
        State of the endpoint, where anything but its load has changed.
    slots_in_use
        Slots of the endpoint that are held.
    without_endpoint
        Whether the agent has no endpoint beside it at present.
    """

    sequence: int
    endpoint: EndpointState | None = None
    slots_in_use: int = 0
    without_endpoint: bool = False


class AgentLeaving(msgspec.Struct, frozen=True, tag="agent_leaving", kw_only=True):
    """The agent's endpoint takes no new work from now on."""


class Admitted(msgspec.Struct, frozen=True, tag="admitted", kw_only=True, omit_defaults=True):
    """A slot is held for the request.

    Parameters
    ----------
    call_id
        Call that this answers.
    start_within_s
        Time in which the request must be sent, in seconds from before the call was made.
    slots_in_use
        Slots of the endpoint that are held, this one among them.
    """

    call_id: int
    start_within_s: float
    slots_in_use: int = 0


class NotAdmitted(
    msgspec.Struct, frozen=True, tag="not_admitted", kw_only=True, omit_defaults=True
):
    """No slot is held for the request, and it has not run on this endpoint because of this call.

    Parameters
    ----------
    call_id
        Call that this answers.
    reason
        Code of the reason.
    ran
        Whether an earlier call with the same key was admitted here.
    slots_in_use
        Slots of the endpoint that are held.
    """

    call_id: int
    reason: str
    ran: bool = False
    slots_in_use: int = 0


class Tasks(msgspec.Struct, frozen=True, tag="tasks", kw_only=True):
    """States of tasks, as an answer to an order or as news.

    Parameters
    ----------
    tasks
        The states.
    fence
        Highest fencing token that the agent has seen.
    call_id
        Order that this answers; 0 for news.
    sequence
        Number of a report on which the entry is to answer with `GangsWhole`; 0 for none.
    live
        Names of all tasks that may run, in such a report.
    """

    tasks: tuple[TaskStatus, ...]
    fence: int
    call_id: int = 0
    sequence: int = 0
    live: tuple[str, ...] = ()
