"""A fake of the workers: starts, ends, checkpoints and losses as events on virtual time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Protocol

import attrs

from bench.job_loads._account import Account
from briardeal_scheduling import (
    Failed,
    Finished,
    Preempt,
    PreemptMode,
    Start,
    Stopped,
)

if TYPE_CHECKING:
    from bench.job_loads._load import Load, LoadJob
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling import Decision, Outcome, Placement

START_S = 0.2
STOP_S = 0.2
SELF_CHECKPOINT_S = 900.0
USAGE_INTERVAL_S = 1800.0
USAGE_LAG_S = 60.0
RESUME_S = 10.0
BAD_WORKER_FAILS_AFTER_S = 5.0
LONGEST_RUN_FACTOR = 6


class Policy(Protocol):
    """What the fake needs of a scheduler or of a baseline."""

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
class Run:
    """One attempt of a job on the fake workers."""

    job: LoadJob
    placement: Placement
    number: int
    started_s: float
    saved_s: float
    """Run time in the last checkpoint."""
    mark_s: float
    """When that checkpoint was written."""
    stopping: PreemptMode | None = None


def run_load(load: Load, policy: Policy, check_every: int = 0) -> Account:
    """Run a load to its end and return what was measured.

    Parameters
    ----------
    load
        The load.
    policy
        What decides.
    check_every
        Rounds between checks of the guarantees; 0 for none.
    """
    fake = Fake(load, policy, check_every)
    fake.run()
    return fake.account


class Fake:
    """The event loop."""

    def __init__(self, load: Load, policy: Policy, check_every: int) -> None:
        self.load = load
        self.policy = policy
        self.check_every = check_every
        self.account = Account(load)
        self.jobs = {job.request.job_id: job for job in load.jobs}
        self.saved: dict[str, float] = {}
        self.runs: dict[str, Run] = {}
        self.down: dict[str, int] = {}
        self.shapes = {shape.worker_id: shape for shape in load.shapes}
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.wake_s = float("inf")
        self.rounds = 0

    def run(self) -> None:
        """Run until no job is left."""
        self.policy.configure(self.load.configuration, 0.0)
        for shape in self.load.shapes:
            self.policy.worker_up(shape, 0.0)
            self.account.worker_up(shape)
        for job in self.load.jobs:
            self._at(job.at_s, self._submit, job)
        for job_id, at_s in self.load.cancellations.items():
            self._at(at_s, self._cancel, job_id)
        for outage in self.load.outages:
            self._at(outage.at_s, self._lose, outage.worker_id)
            self._at(outage.until_s, self._return, outage.worker_id)
        last_s = self.load.span_s * LONGEST_RUN_FACTOR
        while self.events and self.events[0][0] < last_s and self._busy():
            self._step()

    def _busy(self) -> bool:
        return self.account.open_jobs > 0

    def _step(self) -> None:
        now_s = self.events[0][0]
        self.account.advance(now_s)
        decide = False
        while self.events and self.events[0][0] <= now_s:
            _, _, action, arguments = heapq.heappop(self.events)
            decide |= action(now_s, *arguments) is not False
        if not decide:
            return
        for decision in self.account.timed(self.policy.decide, now_s):
            self._apply(decision, now_s)
        self.rounds += 1
        if self.check_every and self.rounds % self.check_every == 0:
            self.account.check_guarantees(self.policy)
        self._wake(self.policy.next_decision_s(now_s), now_s)

    def _wake(self, at_s: float, now_s: float) -> None:
        at_s = max(at_s, now_s + 0.001)
        if at_s < self.wake_s or self.wake_s <= now_s:
            self.wake_s = at_s
            if at_s != float("inf"):
                self._at(at_s, lambda now_s: True)

    def _at(self, at_s: float, action, *arguments) -> None:
        heapq.heappush(self.events, (at_s, next(self.order), action, arguments))

    def _submit(self, now_s: float, job: LoadJob) -> None:
        covered = self.account.covered(self.policy, job.request)
        refused = self.policy.submit(job.request, now_s)
        self.account.submitted(job, refused is not None, covered)

    def _cancel(self, now_s: float, job_id: str) -> None:
        if self.account.is_open(job_id):
            self.policy.cancel(job_id, now_s)
            if job_id not in self.runs:
                self.account.closed(job_id)

    def _lose(self, now_s: float, worker_id: str) -> None:
        self.down[worker_id] = self.down.get(worker_id, 0) + 1
        if self.down[worker_id] > 1:
            return
        for job_id in self.policy.worker_down(worker_id, now_s):
            run = self.runs.pop(job_id)
            self._save(run, now_s)
            self.account.stopped(job_id, run.placement, now_s)
            if not run.job.request.idempotent or job_id in self.load.cancellations:
                self._close_if_cancelled(job_id, now_s)
        self.account.worker_down(worker_id)

    def _return(self, now_s: float, worker_id: str) -> None:
        self.down[worker_id] -= 1
        if not self.down[worker_id]:
            self.policy.worker_up(self.shapes[worker_id], now_s)
            self.account.worker_up(self.shapes[worker_id])

    def _apply(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, Start):
            self._start(decision, now_s)
        elif isinstance(decision, Preempt):
            self._preempt(decision, now_s)
        else:
            self.account.closed(decision.job_id)

    def _start(self, start: Start, now_s: float) -> None:
        job = self.jobs[start.job_id]
        begins_s = now_s + START_S
        saved_s = self.saved.get(start.job_id, 0.0)
        number = next(self.order)
        run = Run(job, start.placement, number, begins_s, saved_s, begins_s)
        self.runs[start.job_id] = run
        self.account.started(start.job_id, start.placement, begins_s)
        self._at(begins_s, self._report_started, start.job_id, number)
        fails_s = self._fails_after(run, now_s)
        if fails_s is not None:
            self._at(begins_s + fails_s[0], self._fail, start.job_id, number, fails_s[1])
            return
        resume_s = RESUME_S if saved_s else 0.0
        self._at(begins_s + resume_s + job.run_s - saved_s, self._finish, start.job_id, number)
        self._at(begins_s + USAGE_INTERVAL_S, self._usage, start.job_id, number)
        if job.request.checkpointable:
            self._at(begins_s + SELF_CHECKPOINT_S, self._checkpoint, start.job_id, number)

    def _fails_after(self, run: Run, now_s: float) -> tuple[float, str] | None:
        workers = run.placement.workers
        if run.job.poisoned:
            return min(60.0, run.job.run_s), workers[0]
        bad, from_s = self.load.bad_worker or ("", 0.0)
        if now_s > from_s and bad in workers:
            return BAD_WORKER_FAILS_AFTER_S, bad
        return None

    def _preempt(self, decision: Preempt, now_s: float) -> None:
        run = self.runs[decision.job_id]
        run.stopping = decision.mode
        number = run.number
        if decision.mode is PreemptMode.CHECKPOINT:
            taken_s = self.load.checkpoint_s.get(run.job.request.customer, 1.0)
            self._at(now_s + taken_s, self._stopped, decision.job_id, number, decision.mode)
        else:
            self._at(now_s + STOP_S, self._stopped, decision.job_id, number, decision.mode)

    def _current(self, job_id: str, number: int) -> Run | None:
        run = self.runs.get(job_id)
        return run if run is not None and run.number == number else None

    def _report_started(self, now_s: float, job_id: str, number: int) -> bool:
        if self._current(job_id, number):
            self.policy.report_started(job_id, now_s)
        return False

    def _finish(self, now_s: float, job_id: str, number: int) -> bool:
        run = self._current(job_id, number)
        if run is None or run.stopping is PreemptMode.STOP:
            return False
        self._end(run, Finished(), now_s)
        self.account.finished(job_id, now_s)
        return True

    def _fail(self, now_s: float, job_id: str, number: int, worker_id: str) -> bool:
        run = self._current(job_id, number)
        if run is None or run.stopping:
            return False
        self._save(run, now_s)
        self._end(run, Failed(worker_id), now_s)
        return True

    def _stopped(self, now_s: float, job_id: str, number: int, mode: PreemptMode) -> bool:
        run = self._current(job_id, number)
        if run is None or run.stopping is not mode:
            return False
        checkpointed = mode is PreemptMode.CHECKPOINT and now_s >= run.started_s
        if checkpointed:
            self.account.lost(run, self.load.checkpoint_s.get(run.job.request.customer, 1.0))
            run.saved_s += now_s - run.mark_s
            run.mark_s = now_s
        else:
            self.account.lost(run, max(0.0, now_s - run.mark_s))
        self._save(run, now_s)
        self._end(run, Stopped(checkpointed), now_s)
        self._close_if_cancelled(job_id, now_s)
        return True

    def _close_if_cancelled(self, job_id: str, now_s: float) -> None:
        if self.load.cancellations.get(job_id, float("inf")) <= now_s:
            self.account.closed(job_id)

    def _end(self, run: Run, outcome: Outcome, now_s: float) -> None:
        job_id = run.job.request.job_id
        del self.runs[job_id]
        self.account.stopped(job_id, run.placement, now_s)
        self.policy.report_ended(job_id, outcome, now_s)

    def _save(self, run: Run, now_s: float) -> None:
        self.saved[run.job.request.job_id] = min(run.saved_s, run.job.run_s - 1)

    def _checkpoint(self, now_s: float, job_id: str, number: int) -> bool:
        run = self._current(job_id, number)
        if run is None or run.stopping:
            return False
        run.saved_s += now_s - run.mark_s
        run.mark_s = now_s
        self.policy.report_checkpoint(job_id, now_s)
        self._at(now_s + SELF_CHECKPOINT_S, self._checkpoint, job_id, number)
        return False

    def _usage(self, now_s: float, job_id: str, number: int) -> bool:
        run = self._current(job_id, number)
        if run is None:
            return False
        observed_s = now_s - USAGE_LAG_S
        run_s = run.saved_s + max(0.0, observed_s - run.mark_s)
        self.policy.report_usage(job_id, run_s, observed_s, now_s)
        self._at(now_s + USAGE_INTERVAL_S, self._usage, job_id, number)
        return False
