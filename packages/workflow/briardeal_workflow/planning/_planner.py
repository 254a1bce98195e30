"""Planner: receives events about jobs and VMs, and returns orders to start and stop tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.model import PlannerTiming
from briardeal_workflow.planning._active_jobs import ActiveJob
from briardeal_workflow.planning._attempts import (
    ATTEMPT_NUMBERS_PER_EPOCH,
    DONE_PERCENT,
    URGENT,
    Attempt,
    AttemptOutcome,
    AttemptPhase,
)
from briardeal_workflow.planning._completions import CompletionHandler
from briardeal_workflow.planning._crashes import Crash, CrashHandler
from briardeal_workflow.planning._departures import DepartureHandler
from briardeal_workflow.planning._evacuation import EvacuationHandler
from briardeal_workflow.planning._job_order import LeastWorkFirst
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._orders import StartTask
from briardeal_workflow.planning._pace_observer import PaceObserver
from briardeal_workflow.planning._passed_over import record_passed_over
from briardeal_workflow.planning._state import PlannerState
from briardeal_workflow.planning._stragglers import StragglerMover
from briardeal_workflow.planning._stuck_tasks import stop_stuck_tasks
from briardeal_workflow.planning._summary import AdmissionSummarizer
from briardeal_workflow.planning._takeover import TakeoverHold
from briardeal_workflow.planning._task_starter import TaskStarter
from briardeal_workflow.planning._vms import Resources, Vm

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from briardeal_workflow.job_table import Progress
    from briardeal_workflow.model import Configuration, Job, Step, TaskId
    from briardeal_workflow.planning._job_order import JobOrder
    from briardeal_workflow.planning._orders import Order
    from briardeal_workflow.planning._running_task import RunningTask
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import VmDescription

MISSING_LIMIT_S = 3.0
"""Time after which an attempt that its VM no longer lists counts as lost; VMs report their task
lists every second."""

UNRESOLVED_MISSING_LIMIT_S = 6.0
"""The same for an attempt that no VM has listed as running; longer than the lease under which its
start was sent, as the worker refuses a start that is carried out after that."""


class Planner:
    """Decides which task runs where and when.

    The planner does no I/O: callers report events, with the time in seconds on a monotonic clock,
    and fetch orders. Every returned order counts as sent.

    Parameters
    ----------
    epoch
        Fencing token of the owner; its attempt numbers are higher than those of lower epochs.
    find_job
        Returns a job by its ID, whether it has finished or not; `None` if it is not stored.
    job_order
        Order in which jobs get free capacity; `LeastWorkFirst` by default.
    timing
        Times that the platform promises.

    Attributes
    ----------
    state
        Jobs, VMs and configuration from which the planner decides.
    takeover
        Holds back tasks that an earlier owner may have started.
    summarize
        Returns a summary of work and capacity; see `AdmissionSummarizer.summarize`.
    """

    def __init__(
        self,
        epoch: int,
        find_job: Callable[[str], Job | None],
        job_order: JobOrder | None = None,
        timing: PlannerTiming | None = None,
    ) -> None:
        self.find_job = find_job
        self.job_order = LeastWorkFirst() if job_order is None else job_order
        first_number = (epoch - 1) * ATTEMPT_NUMBERS_PER_EPOCH + 1
        self.state = PlannerState(first_number, timing=timing or PlannerTiming())
        self.takeover = TakeoverHold(self.state)
        self.evacuation = EvacuationHandler(self.state)
        self.starter = TaskStarter(self.state)
        self.completions = CompletionHandler(self.state)
        self.crashes = CrashHandler(self.state, self.completions)
        self.departures = DepartureHandler(self.state)
        self.pace_observer = PaceObserver(self.state)
        self.stragglers = StragglerMover(self.state)
        self.summarize = AdmissionSummarizer(self.state, self.job_order).summarize

    @property
    def takeover_complete(self) -> bool:
        """Whether all tasks that an earlier owner may have started are known."""
        return self.state.takeover_complete

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.state.configuration = configuration
        for active_job in self.state.active_jobs.values():
            active_job.queue = configuration.queues_by_name.get(
                active_job.job.queue, active_job.queue
            )

    def add_job(
        self, job: Job, progress: Progress, now_s: float, *, takeover_pending: bool = False
    ) -> None:
        """Add a job; adding a known job has no effect.

        Parameters
        ----------
        takeover_pending
            Whether tasks that an earlier owner started may run without having been reported.
        """
        state = self.state
        if job.job_id in state.active_jobs or job.job_id in state.finished_jobs or progress.state:
            return
        queue = state.configuration.queue_of(job)
        active_job = ActiveJob.from_progress(job, queue, progress, now_s)
        for group in active_job.groups.values():
            group.takeover_pending = takeover_pending
        state.active_jobs[job.job_id] = active_job

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job and stop its tasks."""
        active_job = self.state.active_jobs.get(job_id)
        if active_job is not None and not active_job.cancelled:
            active_job.cancelled = True
            self.completions.stop_job(active_job, "cancelled", LossCause.CANCELLED)

    def complete_takeover(self) -> None:
        """Record that all tasks that an earlier owner may have started are known."""
        self.takeover.complete()

    def update_vm(self, description: VmDescription, lease_end_s: float, now_s: float) -> None:
        """Update the description of a VM; a restart of its worker loses all tasks on it."""
        vm = self.state.vms.get(description.vm_id)
        if vm is not None and vm.description.incarnation != description.incarnation:
            self.remove_vm(description.vm_id, now_s)
            vm = None
        if vm is None:
            vm = self.state.vms[description.vm_id] = Vm(description, listed_s=now_s)
            vm.unstable_until_s = self.state.unstable_vms.get(vm.vm_id, float("-inf"))
            vm.evacuated_domains = self.state.evacuated_domains
            self.state.paces.follow_incarnation(vm.vm_id, description.incarnation)
            vm.pace_class = self.state.paces.pace_class(vm.vm_id)
        if description.leaving and not vm.description.leaving:
            self.state.release_claims_on(vm, "is leaving")
        vm.description = description
        vm.follow_departure(now_s, self.state.timing.notice_s)
        vm.reachable = True
        vm.unreachable_since_s = None
        vm.lease_end_s = max(vm.lease_end_s, lease_end_s)

    def set_evacuated(self, domains: frozenset[str], now_s: float) -> None:
        """Set the failure domains in which no task may start."""
        self.evacuation.set_domains(domains, now_s)

    def extend_lease(self, vm_id: str, lease_end_s: float) -> None:
        """Extend the time for which a VM may run its tasks while it is unreachable."""
        vm = self.state.vms.get(vm_id)
        if vm is not None:
            vm.lease_end_s = max(vm.lease_end_s, lease_end_s)

    def mark_unreachable(self, vm_id: str, now_s: float) -> None:
        """Mark a VM as unreachable; its tasks may go on until its lease expires."""
        vm = self.state.vms.get(vm_id)
        if vm is not None and vm.reachable:
            vm.reachable = False
            vm.unreachable_since_s = now_s

    def remove_vm(self, vm_id: str, now_s: float) -> None:
        """Remove a VM; all tasks on it are lost."""
        vm = self.state.vms.pop(vm_id, None)
        if vm is None:
            return
        self.state.release_claims_on(vm, "was removed")
        for attempt in list(vm.attempts.values()):
            self.completions.end_attempt(vm, attempt, AttemptOutcome.LOST, "", now_s)

    def record_crash(self, crash: Crash) -> None:
        """Record that the worker of a VM has crashed; a repeated report has no effect."""
        self.crashes.record_crash(crash)

    def record_started(self, vm_id: str, task: TaskId, number: int, now_s: float) -> None:
        """Record that an attempt has started."""
        attempt = self._find_attempt(vm_id, task, number)
        if attempt is not None and attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_progress_s = now_s
            self.state.record_started(task)

    def record_unhealthy(self, vm_id: str, now_s: float) -> None:
        """Record that a VM rejects starts because it reports itself as unhealthy."""
        vm = self.state.vms.get(vm_id)
        if vm is not None:
            self.completions.record_failure(vm, now_s, vm_at_fault=True)

    def record_task_list(
        self, vm_id: str, running_tasks: Iterable[RunningTask], now_s: float, age_s: float = 0.0
    ) -> None:
        """Record the list of running tasks that a VM reported, and the age of that list."""
        vm = self.state.vms.get(vm_id)
        if vm is None:
            return
        vm.record_list_time(now_s - age_s)
        listed = set()
        for running_task in running_tasks:
            listed.add((running_task.task, running_task.number))
            attempt = vm.attempts.get((running_task.task, running_task.number))
            if attempt is None:
                attempt = self._adopt_attempt(vm, running_task, now_s)
            if running_task.unresolved and vm.evacuated:
                self.evacuation.withdraw(attempt)
            self._record_progress(attempt, running_task, now_s)
        self.pace_observer.record_list(vm, listed, now_s - age_s, now_s)
        self._end_missing_attempts(vm, listed, now_s)

    def record_outcome(
        self,
        vm_id: str,
        task: TaskId,
        number: int,
        outcome: AttemptOutcome,
        checkpoint: str,
        now_s: float,
    ) -> None:
        """Record that an attempt has ended, or that its start was refused."""
        if outcome is not AttemptOutcome.REFUSED:
            self.state.unstored_ends.setdefault(vm_id, {})[task, number] = outcome
        attempt = self._find_attempt(vm_id, task, number)
        if attempt is not None:
            if outcome is AttemptOutcome.DONE:
                self.pace_observer.record_end(self.state.vms[vm_id], attempt, now_s)
            self.completions.end_attempt(self.state.vms[vm_id], attempt, outcome, checkpoint, now_s)
        else:
            # The attempt was counted as lost before, or an earlier owner ordered it.
            self.completions.record_outcome(task, number, outcome, checkpoint, now_s)

    def decide(self, now_s: float, wall_s: float, confirmed_s: float | None = None) -> list[Order]:
        """Return the orders to send now, in sequence.

        Parameters
        ----------
        confirmed_s
            Time at which the process was certainly the only owner; `now_s` by default. VMs whose
            leases have ended later remain, as a newer owner may have extended them.
        """
        confirmed_s = now_s if confirmed_s is None else confirmed_s
        self.state.wall_offset_s = wall_s - now_s
        self.crashes.settle(now_s)
        self.crashes.clear_suspects()
        self._remove_expired_vms(now_s, confirmed_s)
        self.evacuation.apply(now_s)
        self.departures.stop_departing(now_s)
        self.pace_observer.update_slow_vms(now_s)
        stop_stuck_tasks(self.state, self.completions, now_s, wall_s)
        self.starter.next_preemption_s = float("inf")
        self.starter.start_claimed(now_s)
        unfinished = [each for each in self.state.active_jobs.values() if not each.finished]
        for active_job in unfinished:
            active_job.limit_acceptance(wall_s)
        capacity_cores = self.state.capacity_cores()
        for active_job in self.job_order.sort(unfinished, capacity_cores, wall_s):
            for group in active_job.ready_groups(wall_s, now_s):
                self.starter.start_or_preempt(active_job, group, now_s)
        # Last, as tasks that wait go first to free capacity.
        self.stragglers.move(now_s)
        record_passed_over(self.state, wall_s)
        self._forget_finished_jobs()
        orders, self.state.orders = self.state.orders, []
        return [order for order in orders if not self._is_outdated(order)]

    @property
    def next_preemption_s(self) -> float:
        """When the next waiting urgent task may preempt others; infinity if none waits."""
        return self.starter.next_preemption_s

    def _is_outdated(self, order: Order) -> bool:
        """Return whether an attempt has ended since its start was ordered, or ordered again."""
        if not isinstance(order, StartTask):
            return False
        attempt = self._find_attempt(order.vm_id, order.task, order.number)
        return attempt is None or (order.repeated and attempt.phase is AttemptPhase.STOPPING)

    def _find_attempt(self, vm_id: str, task: TaskId, number: int) -> Attempt | None:
        vm = self.state.vms.get(vm_id)
        return vm.attempts.get((task, number)) if vm is not None else None

    def _adopt_attempt(self, vm: Vm, running_task: RunningTask, now_s: float) -> Attempt:
        """Adopt an attempt of an earlier owner; stop it if its job or task has finished."""
        active_job = self.state.job_of(running_task.task)
        if active_job is None:
            return self._stop_leftover_attempt(vm, running_task, now_s)
        group = active_job.groups[running_task.task.group]
        ran_s = running_task.ran_s
        if ran_s is None:
            ran_s = group.step.estimate_s * running_task.percent / DONE_PERCENT
        attempt = self.starter.add_attempt(
            active_job, group, vm, running_task.task, running_task.number, now_s
        )
        attempt.ordered_s = now_s - ran_s
        attempt.phase = AttemptPhase.RUNNING
        if not running_task.unresolved:
            self.state.record_started(running_task.task)
        if active_job.finished or running_task.task.index in group.done:
            self.state.stop(attempt, "task is over", loss_cause=LossCause.TAKEOVER)
        self._stop_older_attempts(group, attempt)
        log_event(
            Event.JOB_ADOPTED,
            job_id=running_task.task.job_id,
            task=str(running_task.task),
            vm=vm.vm_id,
        )
        return attempt

    def _stop_older_attempts(self, group: TaskGroup, adopted: Attempt) -> None:
        """Stop all attempts of a task, or of a gang, but the newest."""
        attempts = list(
            group.active_attempts() if group.step.gang else group.attempts[adopted.task.index]
        )
        newest = max(each.number for each in attempts)
        for attempt in attempts:
            if attempt.number < newest:
                self.state.stop(attempt, "a newer attempt may run", loss_cause=LossCause.TAKEOVER)

    def _stop_leftover_attempt(self, vm: Vm, running_task: RunningTask, now_s: float) -> Attempt:
        """Stop an attempt of a job that has finished; it occupies its capacity until it has ended.

        If the job is no longer stored, the size of its tasks is unknown, and each may occupy the
        whole VM.
        """
        task, number = running_task.task, running_task.number
        step = self._find_step(task)
        resources = vm.description.capacity if step is None else Resources.of_task(step)
        attempt = Attempt(task, number, vm.vm_id, resources, URGENT, "", ordered_s=now_s)
        vm.attempts[task, number] = attempt
        self.state.stop(attempt, "job is over", loss_cause=LossCause.TAKEOVER)
        return attempt

    def _find_step(self, task: TaskId) -> Step | None:
        job = self.find_job(task.job_id)
        return job.steps[task.step] if job is not None and task.step < len(job.steps) else None

    def _record_progress(self, attempt: Attempt, running_task: RunningTask, now_s: float) -> None:
        if running_task.unresolved:
            # It may still start late, so that it must not count as running and then as missing.
            return
        if attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.RUNNING
            self.state.record_started(running_task.task)
        attempt.record_percent(running_task.percent, now_s)
        if running_task.checkpoint and running_task.checkpoint != attempt.checkpoint:
            attempt.checkpoint = running_task.checkpoint
            self.state.record_checkpoint(running_task.task, running_task.checkpoint, ended=False)

    def _end_missing_attempts(self, vm: Vm, listed: set[tuple[TaskId, int]], now_s: float) -> None:
        for key, attempt in list(vm.attempts.items()):
            if key in listed or attempt.phase is AttemptPhase.ORDERED:
                vm.missing_since_s.pop(key, None)
                continue
            listed_before = attempt.first_listed_s is not None
            limit_s = MISSING_LIMIT_S if listed_before else UNRESOLVED_MISSING_LIMIT_S
            if now_s - vm.missing_since_s.setdefault(key, now_s) > limit_s:
                self.completions.end_attempt(vm, attempt, AttemptOutcome.LOST, "", now_s)

    def _remove_expired_vms(self, now_s: float, confirmed_s: float) -> None:
        """Remove the unreachable VMs whose leases ended while this process was the only owner.

        A newer owner may have extended them otherwise, and their tasks run on.
        """
        for vm in list(self.state.vms.values()):
            if not vm.reachable and vm.lease_end_s < confirmed_s:
                log_event(Event.AGENT_EXPIRED, vm=vm.vm_id, tasks=len(vm.attempts))
                self.remove_vm(vm.vm_id, now_s)

    def _forget_finished_jobs(self) -> None:
        for job_id, active_job in list(self.state.active_jobs.items()):
            idle = not any(any(group.active_attempts()) for group in active_job.groups.values())
            if active_job.finished and idle and job_id not in self.state.unsaved_jobs:
                del self.state.active_jobs[job_id]
                self.state.finished_jobs.add(job_id)
