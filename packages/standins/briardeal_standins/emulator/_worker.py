"""A worker on virtual time, with faults to order."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import loop_time
from briardeal_workflow.control import EndedTask, ListedTask, VmState
from briardeal_workflow.worker import (
    Listing,
    NoAnswer,
    Refused,
    Registration,
    Replaced,
    Started,
    StopAccepted,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_standins.emulator._checker import Checker
    from briardeal_workflow.model import TaskId

TICK_S = 0.05
LATENCY_S = 0.001
STOP_S = 0.2
GANG_WAIT_S = 3.0
ANNOUNCE_S = 1.5
CHECKPOINT_S = 0.5
FAILURE_S = 0.5
"""Time after which a task fails on a worker that fails all."""
LATE_S = 4.0
"""Time after which a worker that obeys late carries out an order."""


class VmFault(enum.Enum):
    """What is wrong with a worker."""

    NONE = "none"
    SILENT = "silent"
    """It answers nothing and works on."""
    FAILS_ALL = "fails all"
    """Every task fails soon after its start."""
    NO_PROGRESS = "stands still"
    """Tasks make no progress."""
    GONE = "gone"
    """It has ended; nobody listens."""
    LOSES_START_ANSWERS = "loses starts"
    """It starts tasks and does not say so."""
    DELAYS_ORDERS = "obeys late"
    """Orders get no answer and are carried out later."""


UNREACHABLE = (VmFault.SILENT, VmFault.GONE)


@attrs.frozen
class TaskBehavior:
    """What a task does.

    Parameters
    ----------
    run_s
        Work that it takes.
    failures
        How often it fails before it is done.
    """

    run_s: float
    failures: int = 0


@attrs.define(eq=False)
class _Run:
    task: TaskId
    number: int
    command: str
    checkpoint: str
    began_s: float
    done_s: float = 0.0
    alone_s: float = 0.0
    stops_at_s: float | None = None


class StandinVm:
    """The worker of one VM.

    Parameters
    ----------
    vm_id, state
        Its name, and what it says of itself.
    plan_of
        Returns what a task of a command does.
    gang_of
        Returns how many members must run together; 1 for a task that is not of a gang.
    board
        What runs anywhere, for gangs.
    checker
        Is told of all that begins and ends.

    Attributes
    ----------
    registration
        Where it announces itself.
    fault
        What is wrong with it.
    """

    def __init__(
        self,
        vm_id: str,
        state: VmState,
        plan_of: Callable[[str], TaskBehavior],
        gang_of: Callable[[TaskId], int],
        board: dict[tuple[TaskId, int], StandinVm],
        checker: Checker,
    ) -> None:
        self.vm_id = vm_id
        self.state = state
        self.plan_of = plan_of
        self.gang_of = gang_of
        self.board = board
        self.checker = checker
        self.registration = Registration()
        self.fault = VmFault.NONE
        self.attempts: dict[tuple[TaskId, int], _Run] = {}
        self.ended: list[EndedTask] = []
        self.closed_numbers: dict[TaskId, int] = {}
        self.token = 0
        self.lease_end_clock_s = float("-inf")
        self.news = asyncio.Event()
        self._position = 0
        self._sequence = 0
        self._born = 1
        self._late: set[asyncio.Task[None]] = set()

    def kill(self) -> None:
        """End at once, with all that it runs."""
        self.fault = VmFault.GONE
        for run in list(self.attempts.values()):
            self._finish(run, "lost")

    def restart(self) -> None:
        """Come back after the end of the worker, knowing nothing of before."""
        self._born += 1
        self._sequence = self._position = self.token = 0
        self.state = msgspec.structs.replace(
            self.state, incarnation=f"{self.vm_id}@{self._born}", leaving=False
        )
        self.ended.clear()
        self.closed_numbers.clear()
        self.lease_end_clock_s = float("-inf")
        self.fault = VmFault.NONE
        self.announce()

    async def run(self) -> None:
        """Work and announce itself until cancelled."""
        announced_s = float("-inf")
        while True:
            now_s = loop_time()
            if now_s - announced_s >= ANNOUNCE_S and self.fault is not VmFault.GONE:
                announced_s = now_s
                self.announce()
            for run in list(self.attempts.values()):
                self._advance(run, now_s)
            await asyncio.sleep(TICK_S)

    def announce(self) -> None:
        """Tell the agent what it is."""
        self._sequence += 1
        self.registration.update(self.state, self._born, self._sequence)

    def leave(self) -> None:
        """Take no new work from now on."""
        self.state = msgspec.structs.replace(self.state, leaving=True)
        self.announce()

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
        await asyncio.sleep(LATENCY_S)
        if self.fault in UNREACHABLE:
            return await self._no_answer()
        arguments = (task, number, command, checkpoint, epoch, lease_end_clock_s)
        if self.fault is VmFault.DELAYS_ORDERS:
            self._later(self._start, *arguments)
            return await self._no_answer()
        started = self._start(*arguments)
        return await self._no_answer() if self.fault is VmFault.LOSES_START_ANSWERS else started

    async def stop(
        self, incarnation: str, task: TaskId, number: int, *, epoch: int
    ) -> StopAccepted | Replaced | NoAnswer:
        """End a start."""
        await asyncio.sleep(LATENCY_S)
        if self.fault in UNREACHABLE:
            return await self._no_answer()
        if self.fault is VmFault.DELAYS_ORDERS:
            self._later(self._stop, task, number, epoch)
            return await self._no_answer()
        self._stop(task, number, epoch)
        return StopAccepted()

    async def renew_lease(
        self,
        incarnation: str,
        *,
        epoch: int,
        acknowledged_position: int,
        lease_end_clock_s: float | None,
        wait_s: float,
    ) -> Listing | Replaced | NoAnswer:
        """Let the work go on until a time on the worker's clock, and list it."""
        await asyncio.sleep(LATENCY_S)
        if self.fault in UNREACHABLE:
            return await self._no_answer()
        if epoch >= self.token:
            self.token = epoch
            if lease_end_clock_s is not None:
                self.lease_end_clock_s = max(self.lease_end_clock_s, lease_end_clock_s)
            self.checker.note_kept(self.vm_id, self.ended, acknowledged_position)
            self.ended = [each for each in self.ended if each.position > acknowledged_position]
        if not self.ended and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.news.wait()
            except TimeoutError:
                pass
        self.news.clear()
        return Listing(
            loop_time(), tuple(map(self._row, self.attempts.values())), tuple(self.ended)
        )

    def _start(
        self,
        task: TaskId,
        number: int,
        command: str,
        checkpoint: str,
        epoch: int,
        lease_end_clock_s: float,
    ) -> Started | Refused:
        if epoch < self.token:
            return Refused("fence")
        self.token = epoch
        if lease_end_clock_s < loop_time():
            return Refused("late")
        self.lease_end_clock_s = max(self.lease_end_clock_s, lease_end_clock_s)
        if (task, number) in self.attempts:
            return Started(loop_time())
        if number <= self.closed_numbers.get(task, 0):
            return Refused("old")
        run = _Run(task, number, command, checkpoint, loop_time())
        run.done_s = float(checkpoint or 0.0)
        self.attempts[task, number] = run
        self.board[task, number] = self
        self.checker.note_begun(self, task, number)
        return Started(loop_time())

    def _stop(self, task: TaskId, number: int, epoch: int) -> None:
        if epoch < self.token:
            return
        self.closed_numbers[task] = max(number, self.closed_numbers.get(task, 0))
        run = self.attempts.get((task, number))
        if run is not None and run.stops_at_s is None:
            run.stops_at_s = loop_time() + STOP_S

    def _advance(self, run: _Run, now_s: float) -> None:
        if now_s > self.lease_end_clock_s:
            self._finish(run, "lapsed")
        elif run.stops_at_s is not None:
            if now_s >= run.stops_at_s:
                self._finish(run, "stopped")
        elif not self._whole(run):
            run.alone_s += TICK_S
            if run.alone_s > GANG_WAIT_S:
                self._finish(run, "alone")
        else:
            self._work(run)

    def _work(self, run: _Run) -> None:
        if self.fault is VmFault.NO_PROGRESS:
            return
        plan = self.plan_of(run.command)
        failed = self.checker.failures.get(run.task, 0)
        run.done_s += TICK_S
        breaks = self.fault is VmFault.FAILS_ALL and run.done_s > FAILURE_S
        if breaks or (failed < plan.failures and run.done_s >= plan.run_s / 2):
            self._finish(run, "failed")
        elif run.done_s >= plan.run_s:
            self._finish(run, "done")

    def _whole(self, run: _Run) -> bool:
        members = self.gang_of(run.task)
        if members == 1:
            return True
        group = run.task.group
        return members == sum(
            task.group == group and number == run.number for task, number in self.board
        )

    def _finish(self, run: _Run, how: str) -> None:
        del self.attempts[run.task, run.number]
        self.board.pop((run.task, run.number), None)
        self.closed_numbers[run.task] = max(run.number, self.closed_numbers.get(run.task, 0))
        self._position += 1
        saved = self._checkpoint(run)
        self.ended.append(EndedTask(self._position, run.task, run.number, how, saved))
        self.checker.note_ended(self, run.task, run.number, how)
        self.news.set()
        if self.gang_of(run.task) > 1:
            for (task, number), vm in list(self.board.items()):
                if task.group == run.task.group and number == run.number:
                    vm._finish(vm.attempts[task, number], "done" if how == "done" else "broken")

    def _checkpoint(self, run: _Run) -> str:
        saved_s = int(run.done_s / CHECKPOINT_S) * CHECKPOINT_S
        return f"{saved_s:.1f}" if saved_s else ""

    def _row(self, run: _Run) -> ListedTask:
        percent = int(100 * run.done_s / self.plan_of(run.command).run_s)
        return ListedTask(run.task, run.number, self._checkpoint(run), percent, 0.0)

    async def _no_answer(self) -> NoAnswer:
        if self.fault is VmFault.GONE:
            return NoAnswer("connection refused", refused=True)
        await asyncio.sleep(0.5)
        return NoAnswer("no answer")

    def _later(self, call: Callable[..., object], *arguments: object) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(LATE_S)
            call(*arguments)

        task = asyncio.get_running_loop().create_task(carry_out())
        self._late.add(task)
        task.add_done_callback(self._late.discard)
