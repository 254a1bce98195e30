"""Planner alone under a load, on virtual time and without messages, store or agents."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs

from briardeal_standins.planning_load._speeds import VmSpeeds
from briardeal_standins.planning_load._workload import CONFIGURATION, SERVICE
from briardeal_workflow.job_table import Progress
from briardeal_workflow.model import TaskId
from briardeal_workflow.planning import (
    AttemptOutcome,
    Planner,
    Resources,
    RunningTask,
    StartTask,
    VmDescription,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardeal_standins.planning_load._workload import Fleet, OfferedJob
    from briardeal_workflow.model import Step
    from briardeal_workflow.planning import JobOrder, Order

ORDER_S = 0.02
"""Time from a decision until its order has been carried out."""

STOP_S = 0.2
"""Time from the order to stop a task until it has ended."""

LIST_INTERVAL_S = 1.0
LEASE_S = 5.0
RESTORE_S = 0.1
VMS_PER_RACK = 3

EARLY_STOP_S = 3.0
"""Run time before which a stop shows that a task was started where it could not stay."""


@attrs.define
class JobResult:
    """What became of a job.

    Attributes
    ----------
    offered
        Job as it was submitted.
    took_s
        Time from its submission to its completion in seconds; infinity if it was not completed.
    starts, stops, early_stops
        Number of tasks started, of running tasks stopped, and of those stopped right after their
        start.
    lost_core_s
        Work of stopped tasks that no checkpoint holds, in core-seconds.
    """

    offered: OfferedJob
    took_s: float = float("inf")
    starts: int = 0
    stops: int = 0
    early_stops: int = 0
    lost_core_s: float = 0.0

    @property
    def objective_s(self) -> float:
        """Time within which the job should complete, in seconds."""
        queue = CONFIGURATION.queues_by_name[self.offered.job.queue]
        chain_s = sum(max(run_s) for run_s in self.offered.run_s)
        return queue.stretch_limit * chain_s + queue.latency_target_s


@attrs.define(eq=False)
class _Run:
    """A running attempt; `saved_s` is the work in the checkpoint that it started from."""

    order: StartTask
    started_s: float
    saved_s: float
    total_s: float
    speeds: VmSpeeds
    stopping: bool = False
    complete: bool = False

    def worked_s(self, now_s: float) -> float:
        return self.saved_s + self.speeds.work_s(self.order.vm_id, self.started_s, now_s)


class Simulation:
    """A planner and the VMs that it gives orders to.

    Parameters
    ----------
    fleet
        VMs of the planner.
    workload
        Jobs in the order of their submission.
    started_s
        Start of the load, in seconds since 1970.
    job_order
        Order in which jobs get free capacity; that of the planner by default.
    speeds
        Speeds of the VMs; 1.0 by default.

    Attributes
    ----------
    results
        Results by job ID.
    """

    def __init__(
        self,
        fleet: Fleet,
        workload: Sequence[OfferedJob],
        started_s: float,
        job_order: JobOrder | None = None,
        speeds: VmSpeeds | None = None,
    ) -> None:
        self.planner = Planner(1, lambda job_id: None, job_order)
        self.planner.configure(CONFIGURATION)
        self.planner.complete_takeover()
        self.started_s = started_s
        self.speeds = VmSpeeds() if speeds is None else speeds
        self.results = {each.job.job_id: JobResult(each) for each in workload}
        self.vm_capacity = fleet.vm_capacity
        self.vm_ids = [f"vm-{number}" for number in range(fleet.vms)]
        self._runs: dict[tuple[TaskId, int], _Run] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        for offered in workload:
            self._at(offered.submitted_s, lambda now_s, each=offered: self._submit(each, now_s))

    def run(self, until_s: float) -> None:
        """Run the load until a given time after its start."""
        self._list_tasks(0.0)
        while self._events and self._events[0][0] <= until_s:
            now_s, _, handle = heapq.heappop(self._events)
            handle(now_s)
            if not self._events or self._events[0][0] > now_s:
                self._decide(now_s)

    def _at(self, time_s: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), handle))

    def _submit(self, offered: OfferedJob, now_s: float) -> None:
        self.planner.add_job(offered.job, Progress(), now_s)

    def _decide(self, now_s: float) -> None:
        for order in self.planner.decide(now_s, self.started_s + now_s):
            self._at(now_s + ORDER_S, lambda at_s, each=order: self._carry_out(each, at_s))
        due_s = self.planner.next_preemption_s
        if now_s < due_s < float("inf"):
            self._at(due_s, lambda at_s: None)

    def _carry_out(self, order: Order, now_s: float) -> None:
        key = (order.task, order.number)
        if isinstance(order, StartTask):
            offered = self.results[order.task.job_id].offered
            total_s = offered.run_s[order.task.step][order.task.index]
            saved_s = float(order.checkpoint) if order.checkpoint else 0.0
            run = self._runs[key] = _Run(order, now_s, saved_s, total_s, self.speeds)
            self.results[order.task.job_id].starts += 1
            self.planner.record_started(order.vm_id, order.task, order.number, now_s)
            restore_s = RESTORE_S if order.checkpoint else 0.0
            end_s = self.speeds.end_s(order.vm_id, now_s + restore_s, total_s - saved_s)
            self._at(end_s, lambda at_s: self._end(run, at_s))
        elif (run := self._runs.get(key)) is not None and not run.stopping:
            run.stopping = True
            self._at(now_s + STOP_S, lambda at_s: self._end(run, at_s))

    def _end(self, run: _Run, now_s: float) -> None:
        task, number = run.order.task, run.order.number
        if self._runs.get((task, number)) is not run:
            return
        step = self.results[task.job_id].offered.job.steps[task.step]
        if step.gang and not run.stopping:
            run.complete = True
            members = self._members(run, step)
            if all(member.complete for member in members):
                for member in members:
                    self._finish(member, step, now_s)
            return
        self._finish(run, step, now_s)

    def _finish(self, run: _Run, step: Step, now_s: float) -> None:
        task, number = run.order.task, run.order.number
        del self._runs[task, number]
        outcome, checkpoint = AttemptOutcome.DONE, ""
        if run.stopping:
            outcome = AttemptOutcome.STOPPED
            result, ran_s = self.results[task.job_id], now_s - run.started_s
            result.stops += 1
            result.early_stops += ran_s < EARLY_STOP_S
            if step.checkpointable:
                checkpoint = f"{run.worked_s(now_s):.3f}"
            else:
                result.lost_core_s += ran_s * Resources.of_task(step).core_equivalents
        self.planner.record_outcome(run.order.vm_id, task, number, outcome, checkpoint, now_s)
        job_id = task.job_id
        active_job = self.planner.state.active_jobs.get(job_id)
        if active_job is not None and active_job.state == "completed":
            result = self.results[job_id]
            result.took_s = min(result.took_s, now_s - result.offered.submitted_s)
            self.planner.state.unsaved_jobs.discard(job_id)

    def _members(self, run: _Run, step: Step) -> list[_Run]:
        """Return the members of a gang, which end together, that run with the given one."""
        group, number = run.order.task.group, run.order.number
        members = (self._runs.get((TaskId(*group, index), number)) for index in range(step.tasks))
        return [member for member in members if member is not None]

    def _list_tasks(self, now_s: float) -> None:
        rows: dict[str, list[RunningTask]] = {vm_id: [] for vm_id in self.vm_ids}
        for (task, number), run in self._runs.items():
            percent = min(99, int(100 * run.worked_s(now_s) / run.total_s))
            rows[run.order.vm_id].append(RunningTask(task, number, "", percent))
        for position, vm_id in enumerate(self.vm_ids):
            rack = f"rack-{position // VMS_PER_RACK}"
            description = VmDescription(
                vm_id, "1", SERVICE, self.vm_capacity, frozenset({rack}), rack
            )
            self.planner.update_vm(description, now_s + LEASE_S, now_s)
            self.planner.record_task_list(vm_id, rows[vm_id], now_s)
        self._at(now_s + LIST_INTERVAL_S, self._list_tasks)
