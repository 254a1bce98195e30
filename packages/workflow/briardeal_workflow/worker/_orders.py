"""Execution of start and stop orders on the worker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.control import StartOrder, StartOutcome, StartResult
from briardeal_workflow.worker._interface import (
    Refused,
    Replaced,
    Started,
    StopAccepted,
    Superseded,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_workflow.control import StopOrder
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.worker._interface import Worker

MAX_START_CALLS = 3
"""Number of unanswered calls after which a start is abandoned; any of them may be delayed."""

RETRY_PAUSE_S = 0.05
"""First pause before an unanswered call is repeated; it doubles between stop calls."""

MAX_RETRY_PAUSE_S = 1.0
"""Longest pause before a call is repeated."""


class OrderExecutor:
    """Executes orders on the worker, each in its own asyncio task.

    Parameters
    ----------
    worker
        Worker that the orders are sent to.
    lease_end_clock
        Returns when the lease expires, on the worker's clock, in seconds; `None` without a lease.
    on_resolved
        Called with the outcome of a start order and, if the task was started, the worker's clock
        when it answered; otherwise with 0.
    find_in_lists
        Reads the worker's lists until it answers, and returns whether they contain an attempt.
    on_missed
        Called when a start shows that nothing listens, or that another incarnation does.
    make_token
        Returns the fencing token of calls to the worker for that of an owner.

    Attributes
    ----------
    unresolved
        Start orders whose outcome is not known yet, by task and number of the attempt.
    stopping
        Highest fencing token of the stop orders that the worker has not accepted yet, by task and
        number of the attempt.
    """

    def __init__(
        self,
        worker: Worker,
        lease_end_clock: Callable[[], float | None],
        on_resolved: Callable[[StartResult, float], None],
        find_in_lists: Callable[[TaskId, int], Awaitable[bool]],
        on_missed: Callable[[], None],
        make_token: Callable[[int], int],
    ) -> None:
        self.worker = worker
        self.lease_end_clock = lease_end_clock
        self.on_resolved = on_resolved
        self.find_in_lists = find_in_lists
        self.on_missed = on_missed
        self.make_token = make_token
        self.unresolved: dict[tuple[TaskId, int], StartOrder] = {}
        self.stopping: dict[tuple[TaskId, int], int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, incarnation: str, order: StartOrder) -> None:
        """Start an attempt unless the same order is being executed already."""
        key = (order.task, order.number)
        if key not in self.unresolved:
            self.unresolved[key] = order
            self._spawn(self._start(incarnation, order))

    def rule_out(self, incarnation: str, order: StartOrder) -> None:
        """Prevent an attempt whose start may be under way, unless it has started already."""
        key = (order.task, order.number)
        if key not in self.unresolved:
            self.unresolved[key] = order
            self._spawn(self._stop_and_resolve(incarnation, order))

    def stop(self, incarnation: str, order: StopOrder) -> None:
        """Stop an attempt; an order that is being executed already continues under this token."""
        key = (order.task, order.number)
        known = key in self.stopping
        self.stopping[key] = max(order.epoch, self.stopping.get(key, 0))
        if not known:
            self._spawn(self._stop(incarnation, order))

    def cancel_all(self) -> None:
        """Cancel all orders; the incarnation of the worker that they were meant for has ended."""
        for task in list(self._tasks):
            task.cancel()
        self.unresolved.clear()
        self.stopping.clear()

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, incarnation: str, order: StartOrder) -> None:
        # An earlier agent may have called the worker, and that call may take effect later.
        unanswered = order.repeated
        for _ in range(MAX_START_CALLS):
            lease_end_clock_s = self.lease_end_clock()
            if lease_end_clock_s is None:
                break
            if (order.task, order.number) in self.stopping:
                break
            answer = await self.worker.start(
                incarnation,
                order.task,
                order.number,
                order.command,
                order.checkpoint,
                order.ticket,
                fencing_token=self.make_token(order.epoch),
                lease_end_clock_s=lease_end_clock_s,
            )
            if isinstance(answer, Started):
                self._resolve(order, StartOutcome.STARTED, "", answer.clock_s)
                return
            if isinstance(answer, Refused):
                if answer.unreached:
                    self.on_missed()
                if unanswered:
                    break
                self._resolve(order, StartOutcome.REFUSED, answer.reason)
                return
            if isinstance(answer, Replaced):
                self.on_missed()
                self._resolve(order, StartOutcome.REFUSED, "worker was replaced")
                return
            unanswered = True
            log_event(Event.REQUEST_RETRIED, task=str(order.task), detail=answer.detail)
            await asyncio.sleep(RETRY_PAUSE_S)
        await self._stop_and_resolve(incarnation, order)

    async def _stop_and_resolve(self, incarnation: str, order: StartOrder) -> None:
        """Determine the outcome of a start that may have taken effect, or may still do so.

        A stop with the same attempt number prevents a start that has not taken effect, and so does
        a higher fencing token. If the task was started, it uses its capacity until the worker lists
        the attempt as ended; under a higher token, the newer owner decides whether it runs on.
        """
        await self._stop_until_settled(incarnation, order)
        if await self.find_in_lists(order.task, order.number):
            self._resolve(order, StartOutcome.STARTED, "found without an answer")
        else:
            self._resolve(order, StartOutcome.REFUSED, "no answer")

    async def _stop(self, incarnation: str, order: StopOrder) -> None:
        try:
            await self._stop_until_settled(incarnation, order)
        finally:
            self.stopping.pop((order.task, order.number), None)

    async def _stop_until_settled(self, incarnation: str, order: StartOrder | StopOrder) -> None:
        """Repeat the stop of an attempt until its outcome is known.

        The worker accepts it, is replaced, or knows an owner that is newer than all that have
        ordered the stop.
        """
        pause_s = RETRY_PAUSE_S
        while True:
            token = self._stop_token(order)
            answer = await self.worker.stop(
                incarnation, order.task, order.number, fencing_token=token
            )
            if isinstance(answer, StopAccepted | Replaced):
                return
            if isinstance(answer, Superseded):
                if token < self._stop_token(order):
                    continue
                log_event(Event.STOP_SUPERSEDED, task=str(order.task), epoch=order.epoch)
                return
            log_event(Event.REQUEST_RETRIED, task=str(order.task), detail=answer.detail)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    def _stop_token(self, order: StartOrder | StopOrder) -> int:
        """Return the token for the newest owner that has ordered the stop of an attempt."""
        newest_epoch = self.stopping.get((order.task, order.number), 0)
        return self.make_token(max(order.epoch, newest_epoch))

    def _resolve(
        self, order: StartOrder, outcome: StartOutcome, reason: str, clock_s: float = 0.0
    ) -> None:
        self.unresolved.pop((order.task, order.number), None)
        self.on_resolved(
            StartResult(order.epoch, order.task, order.number, outcome, reason), clock_s
        )
