"""Messages that an entry sends."""

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
        Number that is higher after every start of the entry.
    entries
        Agent addresses of all entries in the region, for the agent to connect to.
    heartbeat_interval_s
        How often the agent sends heartbeats.
    """

    entry_id: str
    incarnation: int
    entries: tuple[str, ...] = ()
    heartbeat_interval_s: float = 1.0


class HeartbeatAck(
    msgspec.Struct, frozen=True, tag="heartbeat_ack", kw_only=True, omit_defaults=True
):
    """Answers a heartbeat, so that the agent finds a silent connection.

    Parameters
    ----------
    sequence
        Number of the heartbeat.
    entries
        Agent addresses of the entries, when they have changed.
    """

    sequence: int
    entries: tuple[str, ...] = ()


class Admit(msgspec.Struct, frozen=True, tag="admit", kw_only=True, omit_defaults=True):
    """Asks for a slot for one request.

    Parameters
    ----------
    call_id
        Number of this call on the connection.
    incarnation
        Incarnation of the endpoint that the request is meant for.
    deadline_s
        Time until the caller gives up, in seconds from now.
    permit
        Number of the slot that is asked for, unique within the incarnation of the entry.
    key
        Identifies the request for at-most-once execution; empty for idempotent requests.
    customer
        Customer that the slot is for.
    share
        Share of the slots that is guaranteed to the customer, between 0 and 1.
    """

    call_id: int
    incarnation: int
    deadline_s: float
    permit: int = 0
    key: str = ""
    customer: str = ""
    share: float = 0.0


class Release(msgspec.Struct, frozen=True, tag="release", kw_only=True, omit_defaults=True):
    """Gives back the slot of a request.

    Parameters
    ----------
    permit
        Number of the slot, as in `Admit`.
    started
        Whether the request may have reached the endpoint.
    finished
        Whether it is certain that the endpoint no longer works on the request.
    """

    permit: int
    started: bool = True
    finished: bool = True


class ReserveTask(msgspec.Struct, frozen=True, tag="reserve_task", kw_only=True):
    """Asks the agent to hold accelerators for one member of a gang.

    Parameters
    ----------
    call_id
        Number of this call on the connection.
    token
        Fencing token of the owner that gives the order.
    job_id, attempt
        The job and the number of its start.
    accelerators
        Accelerators to hold.
    workers
        All workers of the gang.
    command
        What the task runs.
    checkpoint
        Checkpoint to resume from; empty for none.
    lease_s
        How long the reservation holds without a start, in seconds.
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
    """Starts a reserved member; sent only when the whole gang is reserved."""

    call_id: int
    token: int
    job_id: str
    attempt: int


class StopMode(enum.StrEnum):
    """How a task is stopped."""

    CHECKPOINT = "checkpoint"
    """Write a checkpoint, then stop."""
    STOP = "stop"
    """Stop at once."""
    THROTTLE = "throttle"
    """Leave it running on as little as possible."""


class StopTask(msgspec.Struct, frozen=True, tag="stop_task", kw_only=True):
    """Stops a member, or gives back its reservation."""

    call_id: int
    token: int
    job_id: str
    attempt: int
    mode: StopMode = StopMode.STOP


class TakeInventory(msgspec.Struct, frozen=True, tag="take_inventory", kw_only=True):
    """Raises the fence of an agent and asks for all its tasks."""

    call_id: int
    token: int


class GangsWhole(msgspec.Struct, frozen=True, tag="gangs_whole", kw_only=True):
    """Confirms tasks whose gang is whole, as an answer to a report of an agent.

    Parameters
    ----------
    sequence
        Number of the report.
    tasks
        Names of the tasks whose whole gang is in reach and live.
    """

    sequence: int
    tasks: tuple[str, ...]
