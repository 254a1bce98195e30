"""Record of how long the tasks of a worker have run, and of its crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import boottime_s
from briardeal_core.events import Event, log_event
from briardeal_workflow.control import UNKNOWN_RUN_MS, CrashedTask, WorkerCrash

if TYPE_CHECKING:
    from collections.abc import Iterable, Set

    from briardeal_workflow.control import ListedTask
    from briardeal_workflow.model import TaskId

CRASH_RETENTION_S = 30.0
"""Time for which a crash is reported, so that a new owner learns what an earlier one did not store;
longer than a takeover."""


@attrs.frozen
class _Crash:
    """A crash: incarnation of the worker, time on the clock of `boottime_s`, and tasks."""

    incarnation: str
    crashed_s: float
    tasks: tuple[CrashedTask, ...]


class CrashRecorder:
    """Records for how long the tasks of a worker run, and which of them ran when it crashed.

    Attributes
    ----------
    ordered_s
        When the start of each attempt was ordered, by task and number, on the clock of
        `boottime_s`.
    ended_incarnation
        Incarnation whose end has been recorded last, whether it crashed or not.
    """

    def __init__(self) -> None:
        self.ordered_s: dict[tuple[TaskId, int], float] = {}
        self.ended_incarnation = ""
        self._crashes: list[_Crash] = []

    def record_order(self, task: TaskId, number: int) -> None:
        """Record that the start of an attempt was ordered."""
        self.ordered_s.setdefault((task, number), boottime_s())

    def forget_orders(self, active: Set[tuple[TaskId, int]]) -> None:
        """Forget the orders of attempts other than the given ones."""
        for key in self.ordered_s.keys() - active:
            del self.ordered_s[key]

    def record_crash(
        self, incarnation: str, crashed_s: float, attempts: Iterable[tuple[TaskId, int]]
    ) -> None:
        """Record that a worker crashed, once for each incarnation.

        Parameters
        ----------
        incarnation
            Incarnation of the worker.
        crashed_s
            Time of the crash on the clock of `boottime_s`.
        attempts
            Attempts that ran or may have been started, as task and number.
        """
        if incarnation == self.ended_incarnation:
            return
        tasks = tuple(
            CrashedTask(task, number, self._ran_ms(task, number, crashed_s))
            for task, number in sorted(attempts)
        )
        self._crashes.append(_Crash(incarnation, crashed_s, tasks))
        log_event(
            Event.WORKER_CRASHED,
            incarnation=incarnation,
            tasks={str(each.task): each.ran_ms / 1000 for each in tasks},
        )

    def record_end(self, incarnation: str) -> None:
        """Record that a worker has ended, so that a later loss of it is no crash."""
        self.ended_incarnation = incarnation
        self.ordered_s.clear()

    def recent(self) -> tuple[WorkerCrash, ...]:
        """Return the crashes to report."""
        now_s = boottime_s()
        self._crashes = [
            crash for crash in self._crashes if now_s - crash.crashed_s < CRASH_RETENTION_S
        ]
        return tuple(
            WorkerCrash(crash.incarnation, int(1000 * (now_s - crash.crashed_s)), crash.tasks)
            for crash in self._crashes
        )

    def add_run_times(self, rows: Iterable[ListedTask]) -> tuple[ListedTask, ...]:
        """Return rows of running tasks with the times since their start orders."""
        now_s = boottime_s()
        return tuple(
            msgspec.structs.replace(row, ran_ms=self._ran_ms(row.task, row.number, now_s))
            for row in rows
        )

    def _ran_ms(self, task: TaskId, number: int, at_s: float) -> int:
        ordered_s = self.ordered_s.get((task, number))
        if ordered_s is None:
            return UNKNOWN_RUN_MS
        return min(max(0, int(1000 * (at_s - ordered_s))), UNKNOWN_RUN_MS)
