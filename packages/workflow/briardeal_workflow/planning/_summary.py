"""Summary of work and capacity, from which entries estimate when a job could end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.admission import (
    MAX_BANDS,
    MAX_CLASSES,
    MAX_CUSTOMERS,
    MAX_NAME_CHARS,
    MAX_SERVICES,
    MAX_SUMMARY_BYTES,
    SERVED_LAST_S,
    AdmissionSummary,
    ClassSummary,
    ServiceSummary,
    WaitingWork,
    encoded_bytes,
)
from briardeal_workflow.model import ACCELERATOR_CORES, TaskGroupId
from briardeal_workflow.planning._attempts import DONE_PERCENT, URGENT, AttemptPhase
from briardeal_workflow.planning._job_order import PASSING_SHARE
from briardeal_workflow.planning._known_vms import KnownVms

if TYPE_CHECKING:
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._job_order import JobOrder
    from briardeal_workflow.planning._run_times import RunTimes
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup


@attrs.define
class _JobWork:
    """Waiting work of one job, in core-seconds, and its turn, in seconds from now."""

    turn_in_s: float
    core_s: float = 0.0
    gang_core_s: float = 0.0
    accelerator_core_s: float = 0.0
    gang_accelerator_core_s: float = 0.0


@attrs.define(eq=False)
class _ClassWork:
    """Work of one priority of a service while it is summed up."""

    run_times: RunTimes
    jobs: list[_JobWork] = attrs.field(factory=list)
    running_core_s: float = 0.0
    running_accelerator_core_s: float = 0.0
    held_cores: float = 0.0
    declared_core_s: float = 0.0
    weighted_task_s: float = 0.0

    def add_waiting(self, work: _JobWork, group: TaskGroup, tasks: int) -> None:
        """Add tasks that wait to the work of their job."""
        step = group.step
        core_s = tasks * step.estimate_s * group.task_resources.core_equivalents
        accelerator_core_s = tasks * step.estimate_s * ACCELERATOR_CORES * step.accelerators
        if step.gang:
            work.gang_core_s += core_s
            work.gang_accelerator_core_s += accelerator_core_s
        else:
            work.core_s += core_s
            work.accelerator_core_s += accelerator_core_s
        self._add_task_s(step.estimate_s, core_s)

    def add_running(self, group: TaskGroup, attempt: Attempt, now_s: float) -> None:
        """Add an attempt that occupies capacity."""
        step = group.step
        cores = attempt.resources.core_equivalents
        if step.long_running:
            self.held_cores += cores
            return
        remaining_s = attempt.remaining_by_pace_s(now_s)
        if not math.isfinite(remaining_s):
            left = 1.0 - attempt.percent / DONE_PERCENT
            ran_s = now_s - attempt.ordered_s if not attempt.percent else 0.0
            remaining_s = max(0.0, left * step.estimate_s * self.run_times.ratio - ran_s)
        # A task on a slow VM goes on for longer, but leaves all other capacity to other jobs.
        longest_s = step.estimate_s * max(1.0, self.run_times.ratio)
        remaining_s = min(remaining_s, longest_s)
        self.running_core_s += remaining_s * cores
        accelerator_cores = ACCELERATOR_CORES * attempt.resources.accelerators
        self.running_accelerator_core_s += remaining_s * accelerator_cores
        self._add_task_s(step.estimate_s, step.estimate_s * cores)

    def summarize(self, priority: int, now_s: float) -> ClassSummary:
        """Return the summary of the priority."""
        run_times = self.run_times
        task_s = self.weighted_task_s / self.declared_core_s if self.declared_core_s else 0.0
        done_cores = run_times.done_cores(now_s)
        return ClassSummary(
            priority,
            _divide(self.jobs),
            round(self.running_core_s, 1),
            round(self.held_cores, 1),
            round(task_s, 2),
            round(run_times.ratio, 3),
            round(run_times.spread, 3),
            round(run_times.weight, 2),
            round(done_cores, 1),
            round(self.running_accelerator_core_s, 1),
        )

    def _add_task_s(self, task_s: float, core_s: float) -> None:
        self.declared_core_s += core_s
        self.weighted_task_s += task_s * core_s


class AdmissionSummarizer:
    """Sums up the planner's state; the cost is linear in jobs, running tasks and VMs.

    Parameters
    ----------
    state
        Planner state to read.
    job_order
        Order in which the planner serves jobs.

    Attributes
    ----------
    known_vms
        VMs of the last minutes; the next owner collects its own.
    settled_s
        Since when the starts of earlier owners have been known, on the event loop's clock; `None`
        before.
    """

    def __init__(self, state: PlannerState, job_order: JobOrder) -> None:
        self.state = state
        self.job_order = job_order
        self.known_vms = KnownVms()
        self.settled_s: float | None = None

    def summarize(self, now_s: float, wall_s: float) -> AdmissionSummary | None:
        """Return a summary; `None` as long as tasks of an earlier owner may be unknown.

        Parameters
        ----------
        now_s, wall_s
            Current time on the event loop's clock, and in seconds since 1970.
        """
        self.known_vms.record(self.state.vms.values(), now_s)
        if not self.state.takeover_complete:
            return None
        if self.settled_s is None:
            self.settled_s = now_s
        known_s = round(now_s - self.settled_s, 1)
        order_cores = self.state.capacity_cores()
        counted, possible, accelerators = self._capacities(now_s)
        classes, asked = self._sum_up(order_cores, now_s, wall_s)
        services = []
        for name in self.known_vms.services()[:MAX_SERVICES]:
            most_cores = self.known_vms.record_cores(name, "all", possible.get(name, 0.0), now_s)
            most_accelerator_cores = self.known_vms.record_cores(
                name, "accelerators", accelerators.get(name, 0.0), now_s
            )
            work = classes.get(name, {})
            vms = self.known_vms.shapes_of(name)
            services.append(
                ServiceSummary(
                    name,
                    round(counted.get(name, 0.0), 1),
                    round(most_cores, 1),
                    round(PASSING_SHARE * order_cores.get(name, 0.0), 2),
                    tuple(
                        work[priority].summarize(priority, now_s)
                        for priority in sorted(work)[:MAX_CLASSES]
                    ),
                    known_s,
                    vms.shapes,
                    vms.labels,
                    vms.all_shapes,
                    vms.all_labels,
                    most_accelerator_cores,
                )
            )
        listed = sorted(name for name in asked if len(name) <= MAX_NAME_CHARS)[:MAX_CUSTOMERS]
        summary = AdmissionSummary(
            round(now_s, 3),
            tuple(services),
            tuple((name, asked[name]) for name in listed),
            len(listed) == len(asked),
        )
        return summary if encoded_bytes(summary) <= MAX_SUMMARY_BYTES else None

    def _capacities(
        self, now_s: float
    ) -> tuple[dict[str, float], dict[str, float], dict[str, float]]:
        """Return the capacity that can be counted on, and that may return soon, by service.

        The third is the part of the second that is accelerators; all are in cores.
        """
        counted: dict[str, float] = {}
        possible: dict[str, float] = {}
        accelerators: dict[str, float] = {}
        for vm in self.state.vms.values():
            service = vm.description.service
            cores = vm.description.capacity.core_equivalents
            if vm.accepts_tasks and vm.is_healthy(now_s):
                counted[service] = counted.get(service, 0.0) + cores
            if not vm.description.leaving:
                possible[service] = possible.get(service, 0.0) + cores
                accelerator_cores = ACCELERATOR_CORES * vm.description.capacity.accelerators
                accelerators[service] = accelerators.get(service, 0.0) + accelerator_cores
        return counted, possible, accelerators

    def _sum_up(
        self, order_cores: dict[str, float], now_s: float, wall_s: float
    ) -> tuple[dict[str, dict[int, _ClassWork]], dict[str, int]]:
        """Return the work by service and priority, and the guarantees in use by customer."""
        classes: dict[str, dict[int, _ClassWork]] = {}
        guarantees = {
            each.name: each.guaranteed_accelerators
            for each in self.state.configuration.customers
            if each.guaranteed_accelerators > 0
        }
        asked: dict[str, int] = {}
        labels: dict[str, frozenset[str]] = {}
        for vm in self.state.vms.values():
            service = vm.description.service
            labels[service] = labels.get(service, vm.description.labels) & vm.description.labels
        for (service, priority), run_times in self.state.run_times.by_class.items():
            classes.setdefault(service, {})[priority] = _ClassWork(run_times)
        for active_job in self.state.active_jobs.values():
            service, priority = active_job.job.service, active_job.queue.priority
            of_service = classes.setdefault(service, {})
            if priority not in of_service:
                of_service[priority] = _ClassWork(self.state.run_times.find(service, priority))
            if not active_job.finished:
                customer = active_job.job.customer
                if priority == URGENT and customer in guarantees:
                    wanted = active_job.first_step_accelerators
                    asked[customer] = asked.get(customer, 0) + wanted
                is_last, turn_s = self.job_order.turn(active_job, order_cores, wall_s)
                # Another job of an earlier turn may go first if the turns are about equal.
                turn_in_s = turn_s - wall_s + self.job_order.equal_turn_s
                turn_in_s = SERVED_LAST_S if is_last else turn_in_s
                shared = labels.get(service, frozenset())
                _add_job(of_service[priority], active_job, turn_in_s, shared, now_s, wall_s)
        return classes, asked


def _add_job(
    work: _ClassWork,
    active_job: ActiveJob,
    turn_in_s: float,
    shared_labels: frozenset[str],
    now_s: float,
    wall_s: float,
) -> None:
    """Add the work of a job that has not finished.

    Waiting work that leaves capacity to other jobs does not count, as it does not go before them:
    that of steps whose preceding ones are not complete, and of tasks that only some VMs may run.
    """
    job_work = _JobWork(turn_in_s)
    for group in active_job.groups.values():
        if group.complete or not active_job.job.is_due(group.group_id.occurrence, wall_s):
            continue
        running = set()
        for index, attempts in group.attempts.items():
            staying = [each for each in attempts if each.phase is not AttemptPhase.STOPPING]
            if staying and index not in group.done:
                running.add(index)
                work.add_running(group, max(staying, key=lambda each: each.percent), now_s)
        waiting = group.step.tasks - len(group.done) - len(running)
        step = group.step
        anywhere = not step.label or step.label in shared_labels
        if waiting > 0 and not step.long_running and anywhere and _is_ready(active_job, group):
            work.add_waiting(job_work, group, waiting)
    if job_work.core_s or job_work.gang_core_s:
        work.jobs.append(job_work)


def _is_ready(active_job: ActiveJob, group: TaskGroup) -> bool:
    """Return whether all steps before that of a group are complete."""
    job_id, occurrence, _ = group.group_id
    earlier = (TaskGroupId(job_id, occurrence, step) for step in group.step.after)
    return all(active_job.groups[each].complete for each in earlier)


def _divide(jobs: list[_JobWork]) -> tuple[WaitingWork, ...]:
    """Return the jobs in the order of service, divided into a few bands of about equal work."""
    jobs.sort(key=lambda each: each.turn_in_s)
    total_core_s = sum(each.core_s + each.gang_core_s for each in jobs)
    bands: list[WaitingWork] = []
    band: list[_JobWork] = []
    passed_core_s = 0.0
    for number, job in enumerate(jobs):
        band.append(job)
        passed_core_s += job.core_s + job.gang_core_s
        is_last = number == len(jobs) - 1
        if is_last or passed_core_s * MAX_BANDS >= total_core_s * (len(bands) + 1):
            bands.append(_sum_band(band))
            band = []
    return tuple(bands)


def _sum_band(band: list[_JobWork]) -> WaitingWork:
    return WaitingWork(
        round(min(band[-1].turn_in_s, SERVED_LAST_S), 2),
        round(sum(each.core_s for each in band), 1),
        round(sum(each.gang_core_s for each in band), 1),
        len(band),
        round(sum(each.accelerator_core_s for each in band), 1),
        round(sum(each.gang_accelerator_core_s for each in band), 1),
    )
