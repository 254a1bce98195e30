"""Interface between an agent and its worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from briardeal_workflow.control import EndedTask, ListedTask
    from briardeal_workflow.model import TaskId


UNHEALTHY = "unhealthy"
"""Reason given by a worker that rejects starts because it considers itself unhealthy."""

OTHER_INCARNATION = "the start was decided for another incarnation of the worker"
"""Reason given by an agent that refuses a start without asking its worker."""

LEAVING = "worker is leaving"
"""The same for a worker that takes no new tasks."""


@dataclass(frozen=True)
class Started:
    """The task is running; `clock_s` is the worker's clock when it answered."""

    clock_s: float


@dataclass(frozen=True)
class Refused:
    """The worker rejected the call, or it did not reach the worker; the task was not started.

    Parameters
    ----------
    reason
        Reason that the worker gave, or description of the failure.
    unreached
        Whether no connection to the worker could be opened.
    """

    reason: str
    unreached: bool = False


@dataclass(frozen=True)
class StopAccepted:
    """The worker accepted the stop: the attempt ends, or is never started if it was not yet."""


@dataclass(frozen=True)
class Listing:
    """Running tasks of a worker, and its ended attempts that are not acknowledged yet.

    Parameters
    ----------
    clock_s
        The worker's clock when it made the lists, in seconds.
    running
        Tasks that are running.
    ended
        Attempts that have ended, until the agent acknowledges that they are recorded.
    """

    clock_s: float
    running: tuple[ListedTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True)
class Replaced:
    """Another incarnation of the worker answered, so the call had no effect."""


@dataclass(frozen=True)
class Superseded:
    """The worker has seen a higher fencing token, so the call had no effect.

    Earlier calls under the lower token that have had no effect will not have one either.
    """


@dataclass(frozen=True)
class NoAnswer:
    """The worker did not answer; the call may have taken effect or still do so.

    Parameters
    ----------
    detail
        Description of the failure.
    refused
        Whether the connection was refused, so that the call has no effect.
    """

    detail: str
    refused: bool = False


class Worker(Protocol):
    """Calls to the worker of a VM."""

    async def start(
        self,
        incarnation: str,
        task: TaskId,
        number: int,
        command: str,
        checkpoint: str,
        ticket: str,
        *,
        fencing_token: int,
        lease_end_clock_s: float,
    ) -> Started | Refused | Replaced | NoAnswer:
        """Start an attempt of a task; repeating the call has no further effect.

        Parameters
        ----------
        incarnation
            Incarnation of the worker that the call is meant for.
        task, number
            The task, and the number of the attempt.
        command, checkpoint, ticket
            Command to run, checkpoint to resume from, and ticket passed to the worker; the last
            two are empty for none.
        fencing_token
            Token of the owner that ordered the start, for this incarnation.
        lease_end_clock_s
            When the lease expires, on the worker's clock, in seconds.
        """

    async def stop(
        self, incarnation: str, task: TaskId, number: int, *, fencing_token: int
    ) -> StopAccepted | Superseded | Replaced | NoAnswer:
        """Stop an attempt, or prevent its start if it has not started."""

    async def renew_lease(
        self,
        incarnation: str,
        *,
        fencing_token: int,
        acknowledged_position: int,
        lease_end_clock_s: float | None,
        wait_s: float,
    ) -> Listing | Replaced | NoAnswer:
        """Renew the lease and return the tasks of the worker.

        Parameters
        ----------
        incarnation
            Incarnation of the worker that the call is meant for.
        fencing_token
            Token of the owner that the agent follows, for this incarnation.
        acknowledged_position
            Position up to which ended attempts are recorded, so that the worker drops them.
        lease_end_clock_s
            When the lease expires, on the worker's clock, in seconds; `None` leaves the lease as
            it is.
        wait_s
            Longest time that the worker waits for a task to end before it answers, in seconds.
        """
