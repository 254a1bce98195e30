"""Orders to start and stop, carried out on the worker."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.control import Settled, SettledAs, StartOrder
from briardeal_workflow.worker._port import Refused, Replaced, Started, StopTaken

if TYPE_CHECKING:
    from collections.abc import Callable

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
    ) -> None:
        self.worker = worker
        self.hold_clock = hold_clock
        self.settle = settle
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

    def forget(self) -> None:
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
        for _ in range(START_TRIES):
            hold_clock_s = self.hold_clock()
            if hold_clock_s is None:
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
                hold_clock_s=hold_clock_s,
            )
            if isinstance(answer, Started):
                self._settle(order, SettledAs.STARTED, "", answer.clock_s)
                return
            if isinstance(answer, Refused):
                self._settle(order, SettledAs.REFUSED, answer.reason)
                return
            if isinstance(answer, Replaced):
                self._settle(order, SettledAs.REFUSED, "worker was replaced")
                return
            log_event(Event.REQUEST_RETRIED, task=str(order.task), detail=answer.detail)
            await asyncio.sleep(RETRY_S)
        # A call without an answer may still take effect. A stop of the same number rules it out.
        if await self._close(incarnation, order):
            self._settle(order, SettledAs.REFUSED, "no answer")

    async def _stop(self, incarnation: str, order: StopOrder) -> None:
        try:
            await self._close(incarnation, order)
        finally:
            self.stopping.discard((order.task, order.number))

    async def _close(self, incarnation: str, order: StartOrder | StopOrder) -> bool:
        """Stop a start until the worker has taken it, and return whether it has."""
        pause_s = RETRY_S
        while True:
            answer = await self.worker.stop(
                incarnation, order.task, order.number, epoch=order.epoch
            )
            if isinstance(answer, StopTaken | Replaced):
                return True
            log_event(Event.REQUEST_RETRIED, task=str(order.task), detail=answer.detail)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_RETRY_S)

    def _settle(
        self, order: StartOrder, outcome: SettledAs, reason: str, clock_s: float = 0.0
    ) -> None:
        self.unsettled.discard((order.task, order.number))
        self.settle(Settled(order.epoch, order.task, order.number, outcome, reason), clock_s)
