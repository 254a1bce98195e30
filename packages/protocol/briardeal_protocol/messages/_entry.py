"""Messages that an entry sends to an agent."""

from __future__ import annotations

import enum

import msgspec


class EntryHello(msgspec.Struct, frozen=True, tag="entry_hello", kw_only=True):
    """First message of an entry on a connection that an agent opened.

    Parameters
    ----------
    entry_id
        Name of the entry.
    incarnation
        Number that increases with every start of the entry.
    entries
        Agent addresses of all entries in the region, for the agent to connect to.
    heartbeat_interval_s
        Interval at which the agent sends heartbeats, in seconds.
    """

    entry_id: str
    incarnation: int
    entries: tuple[str, ...] = ()
    heartbeat_interval_s: float = 1.0


class HeartbeatAck(
    msgspec.Struct, frozen=True, tag="heartbeat_ack", kw_only=True, omit_defaults=True
):
    """Acknowledges a heartbeat, so that the agent can detect a silent connection.

    Parameters
    ----------
    sequence
        Number of the heartbeat.
    entries
        Agent addresses of all entries in the region, if they have changed.
    """

    sequence: int
    entries: tuple[str, ...] = ()


class Admit(msgspec.Struct, frozen=True, tag="admit", kw_only=True, omit_defaults=True):
    """Requests a slot of the endpoint for one request.

    Parameters
    ----------
    call_id
        Number of this call on the connection.
    incarnation
        Incarnation of the endpoint that the request is addressed to.
    deadline_s
        Remaining time until the caller's timeout, in seconds.
    permit
        Identifies the requested slot, unique within the incarnation of the entry.
    key
        Idempotency key for at-most-once execution; empty for idempotent requests.
    customer
        Customer that sent the request.
    share
        Fraction of the slots that is guaranteed to the customer, between 0 and 1.
    """

    call_id: int
    incarnation: int
    deadline_s: float
    permit: int = 0
    key: str = ""
    customer: str = ""
    share: float = 0.0


class Release(msgspec.Struct, frozen=True, tag="release", kw_only=True, omit_defaults=True):
    """Releases the slot of a request.

    Parameters
    ----------
    permit
        Identifies the slot, as in `Admit`.
    started
        Whether the request may have reached the endpoint.
    finished
        Whether the endpoint has certainly stopped processing the request.
    """

    permit: int
    started: bool = True
    finished: bool = True


class ReserveTask(msgspec.Struct, frozen=True, tag="reserve_task", kw_only=True):
    """Reserves accelerators for one task of a gang.

    Parameters
    ----------
    call_id
        Number of this call on the connection.
    token
        Fencing token of the owner that sends the command.
    job_id, attempt
        Job and number of its attempt, from 1.
    accelerators
        Number of accelerators to reserve.
    workers
        All workers of the gang.
    command
        Command that the task runs.
    checkpoint
        Checkpoint to resume from; empty for none.
    lease_s
        Time after which the reservation expires unless the task is started, in seconds.
    """

    call_id: int
    token: int
    job_id: str
    attempt: int
    accelerators: int
    workers: tuple[str, ...] = ()
    command: str = ""
    checkpoint: str = ""
    lease_s: float = 5.0


class StartTask(msgspec.Struct, frozen=True, tag="start_task", kw_only=True):
    """Starts a reserved task; sent only after every task of the gang is reserved."""

    call_id: int
    token: int
    job_id: str
    attempt: int


class StopMode(enum.StrEnum):
    """How to stop a task."""

    CHECKPOINT = "checkpoint"
    """Write a checkpoint, then stop."""
    STOP = "stop"
    """Stop at once."""
    THROTTLE = "throttle"
    """Keep the task running with as few resources as possible."""


class StopTask(msgspec.Struct, frozen=True, tag="stop_task", kw_only=True):
    """Stops a task, or releases its reservation."""

    call_id: int
    token: int
    job_id: str
    attempt: int
    mode: StopMode = StopMode.STOP


class TakeInventory(msgspec.Struct, frozen=True, tag="take_inventory", kw_only=True):
    """Raises the fencing token of an agent and requests the status of all its tasks."""

    call_id: int
    token: int


class GangsWhole(msgspec.Struct, frozen=True, tag="gangs_whole", kw_only=True):
    """Confirms the tasks whose gang is complete, as the answer to a report of an agent.

    Parameters
    ----------
    sequence
        Number of the report.
    tasks
        Names of the tasks of gangs whose tasks are all reachable and may be running.
    """

    sequence: int
    tasks: tuple[str, ...]
