"""Simulator of the workers: starts, completions, checkpoints and VM losses on virtual time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Protocol

import attrs

from bench.job_loads._metrics import WorkloadMetrics
from briardeal_scheduling import (
    Failed,
    Finished,
    Preempt,
    PreemptMode,
    Start,
    Stopped,
)

if TYPE_CHECKING:
    from bench.job_loads._workload import Workload, WorkloadJob
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling import Decision, Outcome, Placement

START_DELAY_S = 0.2
STOP_DELAY_S = 0.2
CHECKPOINT_INTERVAL_S = 900.0
USAGE_INTERVAL_S = 1800.0
USAGE_LAG_S = 60.0
"""Age of the run time in a usage report."""

RESUME_DELAY_S = 10.0
"""Time that an attempt takes to load a checkpoint."""

FAULTY_VM_FAILURE_S = 5.0
MAX_SPAN_FACTOR = 6
"""Longest simulated time, as a multiple of the time in which jobs arrive."""


class Policy(Protocol):
    """Interface of the schedulers that the simulator can run."""

    def configure(self, configuration: Configuration, now_s: float) -> None: ...

    def worker_up(self, shape: WorkerShape, now_s: float) -> None: ...

    def worker_down(self, worker_id: str, now_s: float) -> list[str]: ...

    def submit(self, request: JobRequest, now_s: float) -> object | None: ...

    def cancel(self, job_id: str, now_s: float) -> bool: ...

    def report_started(self, job_id: str, now_s: float) -> None: ...

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None: ...

    def report_usage(self, job_id: str, run_s: float, observed_s: float, now_s: float) -> None: ...

    def report_checkpoint(self, job_id: str, now_s: float) -> None: ...

    def decide(self, now_s: float) -> list[Decision]: ...

    def next_decision_s(self, now_s: float) -> float: ...


@attrs.define
class Attempt:
    """One attempt of a job on the simulated workers.

    Attributes
    ----------
    number
        Unique number, by which events of an earlier attempt are recognised.
    started_s
        Time of the start, in seconds of virtual time.
    saved_run_s
        Run time covered by the last checkpoint, in seconds.
    checkpointed_at_s
        Time of the last checkpoint, or of the start if this attempt has written none.
    stopping
        Mode of the preemption in progress, if any.
    """

    job: WorkloadJob
    placement: Placement
    number: int
    started_s: float
    saved_run_s: float
    checkpointed_at_s: float
    stopping: PreemptMode | None = None


def simulate_workload(workload: Workload, policy: Policy, check_every: int = 0) -> WorkloadMetrics:
    """Simulate a workload until all of its jobs are done and return the metrics.

    Parameters
    ----------
    workload
        The workload.
    policy
        The scheduler.
    check_every
        Number of rounds between checks of the guarantees; 0 for no checks.
    """
    simulator = Simulator(workload, policy, check_every)
    simulator.run()
    return simulator.metrics


class Simulator:
    """Event loop of the simulation."""

    def __init__(self, workload: Workload, policy: Policy, check_every: int) -> None:
        self.workload = workload
        self.policy = policy
        self.check_every = check_every
        self.metrics = WorkloadMetrics(workload)
        self.jobs = {job.request.job_id: job for job in workload.jobs}
        self.saved_run_s_by_job: dict[str, float] = {}
        self.attempts: dict[str, Attempt] = {}
        self.outages_by_vm: dict[str, int] = {}
        self.shapes = {shape.worker_id: shape for shape in workload.shapes}
        self.events: list[tuple] = []
        self.sequence = itertools.count()
        self.next_round_s = float("inf")
        self.rounds = 0

    def run(self) -> None:
        """Simulate until no job remains, or up to the longest simulated time."""
        self.policy.configure(self.workload.configuration, 0.0)
        for shape in self.workload.shapes:
            self.policy.worker_up(shape, 0.0)
            self.metrics.add_vm(shape)
        for job in self.workload.jobs:
            self._schedule(job.at_s, self._submit, job)
        for job_id, at_s in self.workload.cancellations.items():
            self._schedule(at_s, self._cancel, job_id)
        for outage in self.workload.outages:
            self._schedule(outage.at_s, self._remove_vm, outage.worker_id)
            self._schedule(outage.end_s, self._restore_vm, outage.worker_id)
        end_s = self.workload.span_s * MAX_SPAN_FACTOR
        while self.events and self.events[0][0] < end_s and self._has_remaining_jobs():
            self._process_events()

    def _has_remaining_jobs(self) -> bool:
        return self.metrics.remaining_jobs > 0

    def _process_events(self) -> None:
        now_s = self.events[0][0]
        self.metrics.advance(now_s)
        needs_round = False
        while self.events and self.events[0][0] <= now_s:
            _, _, action, arguments = heapq.heappop(self.events)
            needs_round |= action(now_s, *arguments) is not False
        if not needs_round:
            return
        for decision in self.metrics.time_round(self.policy.decide, now_s):
            self._apply_decision(decision, now_s)
        self.rounds += 1
        if self.check_every and self.rounds % self.check_every == 0:
            self.metrics.check_guarantees(self.policy)
        self._schedule_round(self.policy.next_decision_s(now_s), now_s)

    def _schedule_round(self, at_s: float, now_s: float) -> None:
        at_s = max(at_s, now_s + 0.001)
        if at_s < self.next_round_s or self.next_round_s <= now_s:
            self.next_round_s = at_s
            if at_s != float("inf"):
                self._schedule(at_s, lambda now_s: True)

    def _schedule(self, at_s: float, action, *arguments) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence), action, arguments))

    def _submit(self, now_s: float, job: WorkloadJob) -> None:
        guaranteed = self.metrics.is_guaranteed_urgent(self.policy, job.request)
        rejection = self.policy.submit(job.request, now_s)
        self.metrics.record_submission(job, rejection is not None, guaranteed)

    def _cancel(self, now_s: float, job_id: str) -> None:
        if self.metrics.is_active(job_id):
            self.policy.cancel(job_id, now_s)
            if job_id not in self.attempts:
                self.metrics.remove_job(job_id)

    def _remove_vm(self, now_s: float, worker_id: str) -> None:
        self.outages_by_vm[worker_id] = self.outages_by_vm.get(worker_id, 0) + 1
        if self.outages_by_vm[worker_id] > 1:
            return
        for job_id in self.policy.worker_down(worker_id, now_s):
            attempt = self.attempts.pop(job_id)
            self._save_progress(attempt, now_s)
            self.metrics.record_attempt_end(job_id, attempt.placement, now_s)
            if not attempt.job.request.idempotent or job_id in self.workload.cancellations:
                self._remove_if_cancelled(job_id, now_s)
        self.metrics.remove_vm(worker_id)

    def _restore_vm(self, now_s: float, worker_id: str) -> None:
        self.outages_by_vm[worker_id] -= 1
        if not self.outages_by_vm[worker_id]:
            self.policy.worker_up(self.shapes[worker_id], now_s)
            self.metrics.add_vm(self.shapes[worker_id])

    def _apply_decision(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, Start):
            self._start_attempt(decision, now_s)
        elif isinstance(decision, Preempt):
            self._preempt(decision, now_s)
        else:
            self.metrics.remove_job(decision.job_id)

    def _start_attempt(self, start: Start, now_s: float) -> None:
        job = self.jobs[start.job_id]
        started_s = now_s + START_DELAY_S
        saved_run_s = self.saved_run_s_by_job.get(start.job_id, 0.0)
        number = next(self.sequence)
        attempt = Attempt(job, start.placement, number, started_s, saved_run_s, started_s)
        self.attempts[start.job_id] = attempt
        self.metrics.record_start(start.job_id, start.placement, started_s)
        self._schedule(started_s, self._report_started, start.job_id, number)
        failure = self._find_failure(attempt, now_s)
        if failure is not None:
            self._schedule(started_s + failure[0], self._fail, start.job_id, number, failure[1])
            return
        resume_s = RESUME_DELAY_S if saved_run_s else 0.0
        self._schedule(
            started_s + resume_s + job.run_s - saved_run_s, self._finish, start.job_id, number
        )
        self._schedule(started_s + USAGE_INTERVAL_S, self._report_usage, start.job_id, number)
        if job.request.checkpointable:
            self._schedule(
                started_s + CHECKPOINT_INTERVAL_S, self._write_checkpoint, start.job_id, number
            )

    def _find_failure(self, attempt: Attempt, now_s: float) -> tuple[float, str] | None:
        workers = attempt.placement.workers
        if attempt.job.always_fails:
            return min(60.0, attempt.job.run_s), workers[0]
        faulty_vm, faulty_from_s = self.workload.faulty_vm or ("", 0.0)
        if now_s > faulty_from_s and faulty_vm in workers:
            return FAULTY_VM_FAILURE_S, faulty_vm
        return None

    def _preempt(self, decision: Preempt, now_s: float) -> None:
        attempt = self.attempts[decision.job_id]
        attempt.stopping = decision.mode
        number = attempt.number
        if decision.mode is PreemptMode.CHECKPOINT:
            checkpoint_s = self.workload.checkpoint_s_by_customer.get(
                attempt.job.request.customer, 1.0
            )
            self._schedule(now_s + checkpoint_s, self._stop, decision.job_id, number, decision.mode)
        else:
            self._schedule(now_s + STOP_DELAY_S, self._stop, decision.job_id, number, decision.mode)

    def _find_attempt(self, job_id: str, number: int) -> Attempt | None:
        attempt = self.attempts.get(job_id)
        return attempt if attempt is not None and attempt.number == number else None

    def _report_started(self, now_s: float, job_id: str, number: int) -> bool:
        if self._find_attempt(job_id, number):
            self.policy.report_started(job_id, now_s)
        return False

    def _finish(self, now_s: float, job_id: str, number: int) -> bool:
        attempt = self._find_attempt(job_id, number)
        if attempt is None or attempt.stopping is PreemptMode.STOP:
            return False
        self._end_attempt(attempt, Finished(), now_s)
        self.metrics.record_completion(job_id, now_s)
        return True

    def _fail(self, now_s: float, job_id: str, number: int, worker_id: str) -> bool:
        attempt = self._find_attempt(job_id, number)
        if attempt is None or attempt.stopping:
            return False
        self._save_progress(attempt, now_s)
        self._end_attempt(attempt, Failed(worker_id), now_s)
        return True

    def _stop(self, now_s: float, job_id: str, number: int, mode: PreemptMode) -> bool:
        attempt = self._find_attempt(job_id, number)
        if attempt is None or attempt.stopping is not mode:
            return False
        checkpointed = mode is PreemptMode.CHECKPOINT and now_s >= attempt.started_s
        if checkpointed:
            self.metrics.record_preemption(
                attempt,
                self.workload.checkpoint_s_by_customer.get(attempt.job.request.customer, 1.0),
            )
            attempt.saved_run_s += now_s - attempt.checkpointed_at_s
            attempt.checkpointed_at_s = now_s
        else:
            self.metrics.record_preemption(attempt, max(0.0, now_s - attempt.checkpointed_at_s))
        self._save_progress(attempt, now_s)
        self._end_attempt(attempt, Stopped(checkpointed), now_s)
        self._remove_if_cancelled(job_id, now_s)
        return True

    def _remove_if_cancelled(self, job_id: str, now_s: float) -> None:
        if self.workload.cancellations.get(job_id, float("inf")) <= now_s:
            self.metrics.remove_job(job_id)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome, now_s: float) -> None:
        job_id = attempt.job.request.job_id
        del self.attempts[job_id]
        self.metrics.record_attempt_end(job_id, attempt.placement, now_s)
        self.policy.report_ended(job_id, outcome, now_s)

    def _save_progress(self, attempt: Attempt, now_s: float) -> None:
        self.saved_run_s_by_job[attempt.job.request.job_id] = min(
            attempt.saved_run_s, attempt.job.run_s - 1
        )

    def _write_checkpoint(self, now_s: float, job_id: str, number: int) -> bool:
        attempt = self._find_attempt(job_id, number)
        if attempt is None or attempt.stopping:
            return False
        attempt.saved_run_s += now_s - attempt.checkpointed_at_s
        attempt.checkpointed_at_s = now_s
        self.policy.report_checkpoint(job_id, now_s)
        self._schedule(now_s + CHECKPOINT_INTERVAL_S, self._write_checkpoint, job_id, number)
        return False

    def _report_usage(self, now_s: float, job_id: str, number: int) -> bool:
        attempt = self._find_attempt(job_id, number)
        if attempt is None:
            return False
        observed_s = now_s - USAGE_LAG_S
        run_s = attempt.saved_run_s + max(0.0, observed_s - attempt.checkpointed_at_s)
        self.policy.report_usage(job_id, run_s, observed_s, now_s)
        self._schedule(now_s + USAGE_INTERVAL_S, self._report_usage, job_id, number)
        return False
