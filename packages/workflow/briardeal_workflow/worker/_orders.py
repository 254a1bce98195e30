"""Orders to start and stop, carried out on the worker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.control import Settled, SettledAs, StartOrder
from briardeal_workflow.worker._port import Refused, Replaced, Started, StopAccepted

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_workflow.control import StopOrder
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.worker._port import Worker

START_TRIES = 3
"""Calls after which a start without an answer is given up; each may be delayed on its own."""

RETRY_S = 0.05
"""Pause before a call is repeated; doubles with each that goes without an answer."""

LONGEST_RETRY_S = 1.0
"""Longest such pause."""


class Orders:
    """Carries out orders, each in a task of its own.

    Parameters
    ----------
    worker
        Who is told.
    hold_clock
        Returns until when, on the worker's clock, the work is held; `None` where it is not.
    settle
        Takes what became of a start, with the worker's clock of its answer where it began.
    is_listed
        Reads the worker's lists and returns whether a start stands in them.

    Attributes
    ----------
    unsettled
        Starts of which the outcome is open.
    """

    def __init__(
        self,
        worker: Worker,
        hold_clock: Callable[[], float | None],
        settle: Callable[[Settled, float], None],
        is_listed: Callable[[TaskId, int], Awaitable[bool]],
    ) -> None:
        self.worker = worker
        self.hold_clock = hold_clock
        self.settle = settle
        self.is_listed = is_listed
        self.unsettled: set[tuple[TaskId, int]] = set()
        self.stopping: set[tuple[TaskId, int]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, incarnation: str, order: StartOrder) -> None:
        """Start a task; an order that is under way is not begun again."""
        key = (order.task, order.number)
        if key not in self.unsettled:
            self.unsettled.add(key)
            self._spawn(self._start(incarnation, order))

    def stop(self, incarnation: str, order: StopOrder) -> None:
        """End a start; an order that is under way is not begun again."""
        key = (order.task, order.number)
        if key not in self.stopping:
            self.stopping.add(key)
            self._spawn(self._stop(incarnation, order))

    def cancel_all(self) -> None:
        """Drop all orders; the worker that they were meant for is gone."""
        for task in list(self._tasks):
            task.cancel()
        self.unsettled.clear()
        self.stopping.clear()

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, incarnation: str, order: StartOrder) -> None:
        unanswered = False
        for _ in range(START_TRIES):
            lease_end_clock_s = self.hold_clock()
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
                epoch=order.epoch,
                lease_end_clock_s=lease_end_clock_s,
            )
            if isinstance(answer, Started):
                self._settle(order, SettledAs.STARTED, "", answer.clock_s)
                return
            if isinstance(answer, Refused):
                if unanswered:
                    break
                self._settle(order, SettledAs.REFUSED, answer.reason)
                return
            if isinstance(answer, Replaced):
                self._settle(order, SettledAs.REFUSED, "worker was replaced")
                return
            unanswered = True
            log_event(Event.REQUEST_RETRIED, task=str(order.task), detail=answer.detail)
            await asyncio.sleep(RETRY_S)
        await self._rule_out(incarnation, order)

    async def _rule_out(self, incarnation: str, order: StartOrder) -> None:
        """Settle a start that may have taken effect, or may still do so.

        A stop of the same number keeps it from taking effect later. Where it has already, it goes
        on until its end is listed and takes its room until then.
        """
        await self._close(incarnation, order)
        if await self.is_listed(order.task, order.number):
            self._settle(order, SettledAs.STARTED, "stopped without an answer")
        else:
            self._settle(order, SettledAs.REFUSED, "no answer")

    async def _stop(self, incarnation: str, order: StopOrder) -> None:
        try:
            await self._close(incarnation, order)
        finally:
            self.stopping.discard((order.task, order.number))

    async def _close(self, incarnation: str, order: StartOrder | StopOrder) -> None:
        """Stop a start until the worker has taken that."""
        pause_s = RETRY_S
        while True:
            answer = await self.worker.stop(
                incarnation, order.task, order.number, epoch=order.epoch
            )
            if isinstance(answer, StopAccepted | Replaced):
                return
            log_event(Event.REQUEST_RETRIED, task=str(order.task), detail=answer.detail)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_RETRY_S)

    def _settle(
        self, order: StartOrder, outcome: SettledAs, reason: str, clock_s: float = 0.0
    ) -> None:
        self.unsettled.discard((order.task, order.number))
        self.settle(Settled(order.epoch, order.task, order.number, outcome, reason), clock_s)
