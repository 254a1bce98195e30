"""Simulated worker on virtual time, with selectable faults."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import loop_time
from briardeal_workflow.control import EndedTask, ListedTask, VmState
from briardeal_workflow.worker import (
    UNHEALTHY,
    Listing,
    NoAnswer,
    Refused,
    Registration,
    Replaced,
    Started,
    StopAccepted,
    Superseded,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_standins.emulator._checker import Checker
    from briardeal_workflow.model import TaskId

TICK_S = 0.05
LATENCY_S = 0.001
STOP_DURATIONS_S = (0.1, 0.2, 0.3, 0.4)
"""Seconds until a stopped task has ended; tasks take them in turn by their index."""
GANG_TIMEOUT_S = 3.0
ANNOUNCE_INTERVAL_S = 1.5
CHECKPOINT_INTERVAL_S = 0.5
FAILURE_S = 0.5
"""Seconds after which a task fails under `VmFault.FAILS_ALL`."""
ORDER_DELAY_S = 4.0
"""Seconds after which an order is carried out under `VmFault.DELAYS_ORDERS`."""
SLOW_FACTOR = 5
"""Multiple of its run time that a task takes under `VmFault.SLOW`."""
CRASH_RESTART_S = 3.0
"""Seconds after which a worker that a task has crashed is back."""


class VmFault(enum.Enum):
    """Faults of a worker."""

    NONE = "none"
    SILENT = "silent"
    """Answers no call, but its tasks continue."""
    FAILS_ALL = "fails all"
    """Every task fails soon after its start."""
    NO_PROGRESS = "no progress"
    """Tasks run without making progress."""
    SLOW = "slow"
    """Tasks run at a fraction of their usual pace."""
    DOWN = "down"
    """The worker process is down, and connections are refused."""
    LOSES_START_ANSWERS = "loses start answers"
    """Starts tasks without answering the start orders."""
    DELAYS_ORDERS = "delays orders"
    """Does not answer orders and carries them out later."""
    REJECTS_STARTS = "rejects starts"
    """Rejects start orders as unhealthy, although its running tasks continue."""


UNREACHABLE = (VmFault.SILENT, VmFault.DOWN)


@attrs.frozen
class TaskBehavior:
    """How long a task runs and how often it fails.

    Parameters
    ----------
    run_s
        Work until the task is done, in seconds.
    failures
        Number of attempts that fail before one succeeds.
    crash_after_s
        Seconds after the start of an attempt at which it crashes its worker; `None` for never.
    crashing_index
        Index of the task that does so.
    """

    run_s: float
    failures: int = 0
    crash_after_s: float | None = None
    crashing_index: int = 0

    def is_crash_due(self, task: TaskId, ran_s: float) -> bool:
        """Return whether an attempt that has run for some seconds crashes its worker now."""
        if self.crash_after_s is None or task.index != self.crashing_index:
            return False
        return ran_s >= self.crash_after_s


@attrs.define(eq=False)
class _Attempt:
    """A running attempt of a task."""

    task: TaskId
    number: int
    command: str
    checkpoint: str
    started_s: float
    progress_s: float = 0.0
    gang_wait_s: float = 0.0
    stops_at_s: float | None = None


class StandinVm:
    """Simulated worker of one VM.

    Parameters
    ----------
    vm_id, state
        Name of the VM, and the state that it announces.
    get_behavior
        Returns the behavior of a task by its command.
    get_gang_size
        Returns how many tasks must run together; 1 for a task outside a gang.
    is_checkpointable
        Returns whether a task writes checkpoints.
    vm_by_attempt
        VM of every running attempt, shared by all VMs to check gangs.
    checker
        Records the starts and ends of attempts.

    Attributes
    ----------
    registration
        Registration that receives the announcements of the VM.
    fault
        Current fault.
    attempts
        Running attempts by task and number.
    ended
        Ended attempts that the owner has not acknowledged yet.
    closed_numbers
        Highest number of an ended or stopped attempt of each task; up to it none may start.
    highest_token
        Highest fencing token received.
    earlier_states
        Earlier states of this incarnation whose capacity differed, with the time until which each
        was valid, on the loop's clock.
    leaves_s
        Until when a leaving VM says it remains, on the loop's clock; `None` if it does not say so.
    restart_at_s
        When a crashed worker starts again, on the loop's clock; `None` if it does not by itself.
    instance_incarnations
        Incarnations under the present instance ID; calls for an earlier one of them are carried out
        by the present one.
    lapsed_position
        Position of the newest end before the latest lapse of the lease.
    executes_late_order
        Whether the worker is carrying out an order that it has delayed.
    """

    def __init__(
        self,
        vm_id: str,
        state: VmState,
        get_behavior: Callable[[str], TaskBehavior],
        get_gang_size: Callable[[TaskId], int],
        is_checkpointable: Callable[[TaskId], bool],
        vm_by_attempt: dict[tuple[TaskId, int], StandinVm],
        checker: Checker,
    ) -> None:
        self.vm_id = vm_id
        self.state = state
        self.get_behavior = get_behavior
        self.get_gang_size = get_gang_size
        self.is_checkpointable = is_checkpointable
        self.vm_by_attempt = vm_by_attempt
        self.checker = checker
        self.registration = Registration()
        self.fault = VmFault.NONE
        self.attempts: dict[tuple[TaskId, int], _Attempt] = {}
        self.ended: list[EndedTask] = []
        self.closed_numbers: dict[TaskId, int] = {}
        self.highest_token = 0
        self.lease_end_clock_s = float("-inf")
        self.earlier_states: list[tuple[float, VmState]] = []
        self.leaves_s: float | None = None
        self.restart_at_s: float | None = None
        self.instance_incarnations = {state.incarnation}
        self.lapsed_position = 0
        self.attempt_ended = asyncio.Event()
        self.executes_late_order = False
        self._position = 0
        self._sequence = 0
        self._incarnation = 1
        self._delayed_orders: set[asyncio.Task[None]] = set()

    def kill(self) -> None:
        """Kill the worker process and all its running attempts."""
        self.fault = VmFault.DOWN
        self.restart_at_s = None
        while self.attempts:
            self._finish(next(iter(self.attempts.values())), "lost")

    def restart(self, *, keep_instance: bool = False) -> None:
        """Start the worker process again as a new incarnation without earlier state.

        If it keeps its instance ID, calls that were meant for earlier incarnations reach it.
        """
        self.restart_at_s = None
        self._incarnation += 1
        if not keep_instance:
            self.instance_incarnations.clear()
        self._sequence = self._position = self.highest_token = self.lapsed_position = 0
        self.state = msgspec.structs.replace(
            self.state, incarnation=f"{self.vm_id}@{self._incarnation}", leaving=False
        )
        self.instance_incarnations.add(self.state.incarnation)
        self.ended.clear()
        self.earlier_states.clear()
        self.closed_numbers.clear()
        self.lease_end_clock_s = float("-inf")
        self.fault = VmFault.NONE
        self.announce()

    async def run(self) -> None:
        """Advance running attempts and announce the VM periodically until cancelled."""
        announced_s = float("-inf")
        while True:
            now_s = loop_time()
            if self.restart_at_s is not None and now_s >= self.restart_at_s:
                self.restart()
            if now_s - announced_s >= ANNOUNCE_INTERVAL_S and self.fault is not VmFault.DOWN:
                announced_s = now_s
                self.announce()
            for key, attempt in list(self.attempts.items()):
                # The end of one member of a gang also ends the members on the same VM.
                if key in self.attempts:
                    self._advance(attempt, now_s)
            await asyncio.sleep(TICK_S)

    def announce(self) -> None:
        """Announce the state of the VM to its agent."""
        self._sequence += 1
        state = self.state
        if state.leaving and self.leaves_s is not None:
            left_s = max(0.0, self.leaves_s - loop_time())
            state = msgspec.structs.replace(state, leaving_in_s=left_s)
        self.registration.update(state, self._incarnation, self._sequence)

    def resize(self, share: float) -> None:
        """Change the capacity to a share of the present one, and announce it."""
        self.earlier_states.append((loop_time(), self.state))
        self.state = msgspec.structs.replace(
            self.state,
            cpu_millis=int(share * self.state.cpu_millis),
            memory_mb=int(share * self.state.memory_mb),
            accelerators=int(share * self.state.accelerators),
        )
        self.announce()

    def leave(self, notice_s: float = 0.0) -> None:
        """Announce that the VM is leaving and takes no new tasks.

        Parameters
        ----------
        notice_s
            Time for which it says it remains, in seconds; 0 if it does not say so.
        """
        self.leaves_s = loop_time() + notice_s if notice_s else None
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
        fencing_token: int,
        lease_end_clock_s: float,
    ) -> Started | Refused | Replaced | NoAnswer:
        """Start an attempt of a task; repeating the call has no effect."""
        await asyncio.sleep(LATENCY_S)
        if self.fault is VmFault.DOWN:
            return Refused("connection refused", unreached=True)
        if self.fault in UNREACHABLE:
            return await self._no_answer()
        if incarnation not in self.instance_incarnations:
            return Replaced()
        if self.fault is VmFault.REJECTS_STARTS and (task, number) not in self.attempts:
            return Refused(UNHEALTHY)
        arguments = (task, number, command, checkpoint, fencing_token, lease_end_clock_s)
        if self.fault is VmFault.DELAYS_ORDERS:
            self._carry_out_later(incarnation, self._start, *arguments)
            return await self._no_answer()
        started = self._start(*arguments)
        return await self._no_answer() if self.fault is VmFault.LOSES_START_ANSWERS else started

    async def stop(
        self, incarnation: str, task: TaskId, number: int, *, fencing_token: int
    ) -> StopAccepted | Superseded | Replaced | NoAnswer:
        """Stop an attempt."""
        await asyncio.sleep(LATENCY_S)
        if self.fault in UNREACHABLE:
            return await self._no_answer()
        if incarnation not in self.instance_incarnations:
            return Replaced()
        if self.fault is VmFault.DELAYS_ORDERS:
            self._carry_out_later(incarnation, self._stop, task, number, fencing_token)
            return await self._no_answer()
        if fencing_token < self.highest_token:
            return Superseded()
        self._stop(task, number, fencing_token)
        return StopAccepted()

    async def renew_lease(
        self,
        incarnation: str,
        *,
        fencing_token: int,
        acknowledged_position: int,
        lease_end_clock_s: float | None,
        wait_s: float,
    ) -> Listing | Replaced | NoAnswer:
        """Extend the lease and return the running and ended attempts.

        Waits up to `wait_s` seconds for an end if there is none yet.
        """
        await asyncio.sleep(LATENCY_S)
        if self.fault in UNREACHABLE:
            return await self._no_answer()
        if incarnation != self.state.incarnation:
            if incarnation in self.instance_incarnations:
                self.highest_token = max(fencing_token, self.highest_token)
            return Replaced()
        if fencing_token < self.highest_token:
            return NoAnswer("a higher fencing token is known")
        self.highest_token = fencing_token
        self._record_lapse()
        if lease_end_clock_s is not None:
            self.lease_end_clock_s = max(self.lease_end_clock_s, lease_end_clock_s)
        self.checker.record_stored_ends(
            self.vm_id, self.ended, acknowledged_position, self.lapsed_position
        )
        self.ended = [
            task_end for task_end in self.ended if task_end.position > acknowledged_position
        ]
        if not self.ended and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.attempt_ended.wait()
            except TimeoutError:
                pass
        if self.fault is VmFault.DOWN or incarnation != self.state.incarnation:
            return NoAnswer("connection reset")
        self.attempt_ended.clear()
        return Listing(
            loop_time(), tuple(map(self._list_attempt, self.attempts.values())), tuple(self.ended)
        )

    def _start(
        self,
        task: TaskId,
        number: int,
        command: str,
        checkpoint: str,
        fencing_token: int,
        lease_end_clock_s: float,
    ) -> Started | Refused:
        if fencing_token < self.highest_token:
            return Refused("fence")
        self.highest_token = fencing_token
        if lease_end_clock_s < loop_time():
            return Refused("late")
        self._record_lapse()
        self.lease_end_clock_s = max(self.lease_end_clock_s, lease_end_clock_s)
        if (task, number) in self.attempts:
            return Started(loop_time())
        if number <= self.closed_numbers.get(task, 0):
            return Refused("old")
        attempt = _Attempt(task, number, command, checkpoint, loop_time())
        attempt.progress_s = float(checkpoint or 0.0)
        self.attempts[task, number] = attempt
        self.vm_by_attempt[task, number] = self
        self.checker.record_start(self, task, number)
        return Started(loop_time())

    def _record_lapse(self) -> None:
        """Record a lapse of the lease before it is extended."""
        if self.lease_end_clock_s < loop_time():
            self.lapsed_position = self._position

    def _stop(self, task: TaskId, number: int, fencing_token: int) -> None:
        if fencing_token < self.highest_token:
            return
        self.closed_numbers[task] = max(number, self.closed_numbers.get(task, 0))
        attempt = self.attempts.get((task, number))
        if attempt is not None and attempt.stops_at_s is None:
            duration_s = STOP_DURATIONS_S[task.index % len(STOP_DURATIONS_S)]
            attempt.stops_at_s = loop_time() + duration_s

    def _advance(self, attempt: _Attempt, now_s: float) -> None:
        behavior = self.get_behavior(attempt.command)
        if behavior.is_crash_due(attempt.task, now_s - attempt.started_s):
            self.checker.record_crash(attempt.task)
            self.kill()
            self.restart_at_s = now_s + CRASH_RESTART_S
        elif now_s > self.lease_end_clock_s:
            self._finish(attempt, "lapsed")
        elif attempt.stops_at_s is not None:
            if now_s >= attempt.stops_at_s:
                self._finish(attempt, "stopped")
        elif not self._is_gang_complete(attempt):
            attempt.gang_wait_s += TICK_S
            if attempt.gang_wait_s > GANG_TIMEOUT_S:
                self._finish(attempt, "alone")
        else:
            self._make_progress(attempt)

    def _make_progress(self, attempt: _Attempt) -> None:
        if self.fault is VmFault.NO_PROGRESS:
            return
        behavior = self.get_behavior(attempt.command)
        failed = self.checker.failures.get(attempt.task, 0)
        attempt.progress_s += TICK_S / SLOW_FACTOR if self.fault is VmFault.SLOW else TICK_S
        fails_early = self.fault is VmFault.FAILS_ALL and attempt.progress_s > FAILURE_S
        if fails_early or (failed < behavior.failures and attempt.progress_s >= behavior.run_s / 2):
            self._finish(attempt, "failed")
        elif attempt.progress_s >= behavior.run_s:
            self._finish(attempt, "done")

    def _is_gang_complete(self, attempt: _Attempt) -> bool:
        members = self.get_gang_size(attempt.task)
        if members == 1:
            return True
        group = attempt.task.group
        return members == sum(
            task.group == group and number == attempt.number for task, number in self.vm_by_attempt
        )

    def _finish(self, attempt: _Attempt, end: str) -> None:
        del self.attempts[attempt.task, attempt.number]
        self.vm_by_attempt.pop((attempt.task, attempt.number), None)
        self.closed_numbers[attempt.task] = max(
            attempt.number, self.closed_numbers.get(attempt.task, 0)
        )
        self._position += 1
        checkpoint = self._checkpoint(attempt)
        self.ended.append(EndedTask(self._position, attempt.task, attempt.number, end, checkpoint))
        self.checker.record_end(self, attempt.task, attempt.number, end)
        self.attempt_ended.set()
        if self.get_gang_size(attempt.task) > 1:
            for (task, number), vm in list(self.vm_by_attempt.items()):
                is_member = task.group == attempt.task.group and number == attempt.number
                # The end of the first member found ends the others in turn.
                if is_member and (task, number) in vm.attempts:
                    vm._finish(vm.attempts[task, number], "done" if end == "done" else "broken")

    def _checkpoint(self, attempt: _Attempt) -> str:
        if not self.is_checkpointable(attempt.task):
            return ""
        checkpoint_s = int(attempt.progress_s / CHECKPOINT_INTERVAL_S) * CHECKPOINT_INTERVAL_S
        return f"{checkpoint_s:.1f}" if checkpoint_s else ""

    def _list_attempt(self, attempt: _Attempt) -> ListedTask:
        percent = int(100 * attempt.progress_s / self.get_behavior(attempt.command).run_s)
        return ListedTask(attempt.task, attempt.number, self._checkpoint(attempt), percent, 0.0)

    async def _no_answer(self) -> NoAnswer:
        if self.fault is VmFault.DOWN:
            return NoAnswer("connection refused", refused=True)
        await asyncio.sleep(0.5)
        return NoAnswer("no answer")

    def _carry_out_later(
        self, incarnation: str, call: Callable[..., object], *arguments: object
    ) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(ORDER_DELAY_S)
            if incarnation in self.instance_incarnations and self.fault is not VmFault.DOWN:
                self.executes_late_order = True
                call(*arguments)
                self.executes_late_order = False

        task = asyncio.get_running_loop().create_task(carry_out())
        self._delayed_orders.add(task)
        task.add_done_callback(self._delayed_orders.discard)
