"""What an agent asks of its worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from briardeal_workflow.control import EndedTask, ListedTask
    from briardeal_workflow.model import TaskId


UNHEALTHY = "unhealthy"
"""Reason of a worker that takes no starts because it considers itself unhealthy."""


@dataclass(frozen=True)
class Started:
    """The task runs; `clock_s` is the worker's clock when it said so."""

    clock_s: float


@dataclass(frozen=True)
class Refused:
    """The task was not started by this call."""

    reason: str


@dataclass(frozen=True)
class StopAccepted:
    """The start ends, and never takes effect where it has not."""


@dataclass(frozen=True)
class Listing:
    """What the worker runs and which ends it remembers.

    Parameters
    ----------
    clock_s
        The worker's clock when it was made.
    running, ended
        The lists.
    """

    clock_s: float
    running: tuple[ListedTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True)
class Replaced:
    """Another incarnation of the worker has answered, so nothing was done."""


@dataclass(frozen=True)
class NoAnswer:
    """No answer came; the call may take effect, also later.

    Parameters
    ----------
    detail
        What went wrong.
    refused
        Whether nobody listens where the worker should, so that the call has no effect.
    """

    detail: str
    refused: bool = False


class Worker(Protocol):
    """The worker of a VM."""

    async def start(
        self,
        incarnation: str,
        task: TaskId,
        number: int,
        command: str,
        checkpoint: str,
        ticket: str,
        *,
        epoch: int,
        lease_end_clock_s: float,
    ) -> Started | Refused | Replaced | NoAnswer:
        """Start a task; the same start again changes nothing."""

    async def stop(
        self, incarnation: str, task: TaskId, number: int, *, epoch: int
    ) -> StopAccepted | Replaced | NoAnswer:
        """End a start."""

    async def renew_lease(
        self,
        incarnation: str,
        *,
        epoch: int,
        acknowledged_position: int,
        lease_end_clock_s: float | None,
        wait_s: float,
    ) -> Listing | Replaced | NoAnswer:
        """Let the work go on until a time on the worker's clock, and list it.

        Waits up to `wait_s` for a task to end. Ends up to `acknowledged_position` are forgotten.
        """
