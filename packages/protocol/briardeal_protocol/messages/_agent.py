"""Messages that an agent sends to an entry."""

from __future__ import annotations

import enum

import msgspec

from briardeal_core.jobs import WorkerShape


class EndpointState(msgspec.Struct, frozen=True, kw_only=True):
    """State of the endpoint on the VM of an agent.

    Parameters
    ----------
    service
        Service that the endpoint runs.
    address
        HTTP address of the endpoint, as `IP:PORT`.
    incarnation
        Number that increases with every start of the endpoint.
    slots, slots_in_use
        Number of requests that the endpoint can process at once, and of slots that are taken.
    connections
        Maximum number of open connections.
    leaving
        Whether the endpoint is shutting down and accepts no new requests.
    """

    service: str
    address: str
    incarnation: int
    slots: int
    connections: int
    slots_in_use: int = 0
    leaving: bool = False


class WorkerState(msgspec.Struct, frozen=True, kw_only=True):
    """State of the worker on the VM of an agent.

    Parameters
    ----------
    shape
        Location and resources of the worker.
    fence
        Highest fencing token that the agent has seen.
    """

    shape: WorkerShape
    fence: int = 0


class TaskState(enum.StrEnum):
    """State of one task on its agent."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"


class TaskStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one task.

    Parameters
    ----------
    job_id
        Job that the task belongs to.
    attempt
        Number of the attempt of that job, from 1.
    state
        State of the task.
    accelerators
        Number of accelerators that the task occupies.
    workers
        All workers of the gang, so that a new owner can restore the job from any of its tasks.
    checkpoint
        Name of the newest checkpoint; empty if there is none.
    run_s
        Run time so far, in seconds.
    detail
        Why the task failed or was rejected.
    ran
        Whether the task may have run, even briefly.
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
        Number that increases with every start of the agent.
    region, failure_domain
        Location of the VM.
    endpoint, worker
        Endpoint and worker on the same VM, if there are any.
    tasks
        Status of all tasks on the agent.
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
        Number of the heartbeat on this connection.
    endpoint
        State of the endpoint, if anything but its load has changed.
    slots_in_use
        Number of slots of the endpoint that are taken.
    without_endpoint
        Whether there is currently no endpoint on the VM of the agent.
    """

    sequence: int
    endpoint: EndpointState | None = None
    slots_in_use: int = 0
    without_endpoint: bool = False


class AgentLeaving(msgspec.Struct, frozen=True, tag="agent_leaving", kw_only=True):
    """Announces that the endpoint of the agent accepts no new requests from now on."""


class Admitted(msgspec.Struct, frozen=True, tag="admitted", kw_only=True, omit_defaults=True):
    """Reply to `Admit`: a slot is reserved for the request.

    Parameters
    ----------
    call_id
        Number of the call.
    start_within_s
        Time within which the request must be sent, in seconds; the entry counts it from just
        before it made the call.
    slots_in_use
        Number of slots of the endpoint that are taken, including this one.
    """

    call_id: int
    start_within_s: float
    slots_in_use: int = 0


class NotAdmitted(
    msgspec.Struct, frozen=True, tag="not_admitted", kw_only=True, omit_defaults=True
):
    """Reply to `Admit`: no slot is reserved, and this call did not make the request run.

    Parameters
    ----------
    call_id
        Number of the call.
    reason
        Code of the reason.
    ran
        Whether an earlier call with the same key was admitted by this agent.
    slots_in_use
        Number of slots of the endpoint that are taken.
    """

    call_id: int
    reason: str
    ran: bool = False
    slots_in_use: int = 0


class Tasks(msgspec.Struct, frozen=True, tag="tasks", kw_only=True):
    """Status of tasks, as the reply to a command or as an unsolicited report.

    Parameters
    ----------
    tasks
        Status of each task.
    fence
        Highest fencing token that the agent has seen.
    call_id
        Number of the command that this replies to; 0 for a report.
    sequence
        Number of a report that the entry answers with `GangsWhole`; 0 if it expects no answer.
    live
        Names of all tasks that may be running, in a report that expects an answer.
    """

    tasks: tuple[TaskStatus, ...]
    fence: int
    call_id: int = 0
    sequence: int = 0
    live: tuple[str, ...] = ()
