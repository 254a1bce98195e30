"""Random schedules of jobs and failures, checked after every round."""

from __future__ import annotations

import random

import pytest

from briardeal_core.configuration import Adjacency, Configuration, Customer, Guarantee, JobClass
from briardeal_core.jobs import JobRequest, WorkerShape
from briardeal_scheduling import (
    Failed,
    Finished,
    Lost,
    NotStarted,
    Preempt,
    PreemptMode,
    Scheduler,
    Start,
    Stopped,
)
from tests.scheduling.checker import Checker

STEPS = 60
CLASSES = (
    JobClass(name="urgent", finish_within_s=600, start_within_s=1.1),
    JobClass(name="nightly", finish_within_s=8 * 3600),
)


class Simulation:
    """A scheduler under random events, with a checker of its decisions."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.scheduler = Scheduler()
        self.checker = Checker(self._configuration())
        self.scheduler.configure(self.checker.configuration, 0.0)
        self.modes: dict[str, PreemptMode] = {}
        self.lost_shapes: list[WorkerShape] = []
        self.finished_jobs: set[str] = set()
        for number in range(6):
            shape = WorkerShape(
                worker_id=f"vm{number}",
                region="north",
                failure_domain=f"domain{number // 4}",
                rack=f"rack{number // 2}",
                accelerators=self.random.choice([2, 4, 4]),
            )
            self.checker.shapes[shape.worker_id] = shape
            self.scheduler.worker_up(shape, 0.0)

    def step(self) -> None:
        """Apply one random event, then run a round."""
        self.now_s += self.random.choice([0.0, 0.1, 1.0, 30.0, 900.0])
        events = [self.submit] * 4 + [self.end] * 3 + [self.fail, self.cancel]
        events += [self.lose_worker, self.return_worker, self.start, self.start]
        self.random.choice(events)()
        self.decide()

    def decide(self) -> None:
        decisions = self.scheduler.decide(self.now_s)
        for decision in decisions:
            if isinstance(decision, Preempt):
                self.modes[decision.job_id] = decision.mode
            elif isinstance(decision, Start):
                self.modes.pop(decision.job_id, None)
        self.checker.apply(decisions, self.scheduler)
        self.finished_jobs |= self.checker.abandoned

    def submit(self) -> None:
        tasks = self.random.choice([1, 1, 1, 2, 3])
        request = JobRequest(
            job_id=f"job{len(self.checker.jobs)}",
            customer=self.random.choice("abc"),
            job_class=self.random.choice(["urgent", "nightly", "nightly"]),
            tasks=tasks,
            accelerators_per_task=self.random.choice([0, 1, 2, 2, 4]),
            adjacency=self.random.choice(list(Adjacency)),
            declared_run_s=self.random.choice([10, 1000, 10_000]),
            checkpointable=self.random.random() < 0.6,
            idempotent=self.random.random() < 0.8,
        )
        self.checker.jobs[request.job_id] = request
        if self.scheduler.submit(request, self.now_s) is not None:
            self.finished_jobs.add(request.job_id)

    def start(self) -> None:
        for job_id in self.checker.running:
            self.scheduler.report_started(job_id, self.now_s)

    def end(self) -> None:
        if not self.checker.running:
            return
        job_id = self.random.choice(sorted(self.checker.running))
        outcome = Finished()
        if job_id in self.modes:
            outcome = Stopped(checkpointed=self.modes[job_id] is PreemptMode.CHECKPOINT)
        elif self.random.random() < 0.1:
            outcome = NotStarted(self.checker.running[job_id][0])
        self._report(job_id, outcome)
        if isinstance(outcome, Finished):
            self.finished_jobs.add(job_id)

    def fail(self) -> None:
        if self.checker.running:
            job_id = self.random.choice(sorted(self.checker.running))
            self._report(job_id, Failed(self.checker.running[job_id][-1]))

    def cancel(self) -> None:
        live = sorted(self.checker.jobs.keys() - self.finished_jobs)
        if live:
            job_id = self.random.choice(live)
            self.scheduler.cancel(job_id, self.now_s)
            self.finished_jobs.add(job_id)

    def lose_worker(self) -> None:
        if len(self.checker.shapes) < 4:
            return
        worker_id = self.random.choice(sorted(self.checker.shapes))
        lost = self.scheduler.worker_down(worker_id, self.now_s)
        running = self.checker.running.items()
        assert sorted(lost) == sorted(job for job, where in running if worker_id in where)
        for job_id in lost:
            self.checker.end(job_id)
            self.modes.pop(job_id, None)
        self.lost_shapes.append(self.checker.shapes.pop(worker_id))

    def return_worker(self) -> None:
        if self.lost_shapes:
            shape = self.lost_shapes.pop()
            self.checker.shapes[shape.worker_id] = shape
            self.scheduler.worker_up(shape, self.now_s)

    def drain(self) -> None:
        """Bring all VMs back and run the remaining jobs until they finish."""
        while self.lost_shapes:
            self.return_worker()
        for _ in range(400):
            self.now_s += 3600.0
            self.decide()
            self.start()
            for job_id in sorted(self.checker.running):
                stopped = job_id in self.modes
                self._report(job_id, Stopped() if stopped else Finished())
                if not stopped:
                    self.finished_jobs.add(job_id)

    def _report(self, job_id: str, outcome: Finished | Failed | Lost | Stopped | NotStarted):
        self.scheduler.report_ended(job_id, outcome, self.now_s)
        self.checker.end(job_id)
        self.modes.pop(job_id, None)

    def _configuration(self) -> Configuration:
        customers = []
        for name in "abc":
            guarantees = tuple(
                Guarantee(
                    job_class=self.random.choice(["urgent", "nightly"]),
                    vms=self.random.choice([1, 1, 2]),
                    accelerators_per_vm=self.random.choice([1, 2, 4]),
                    adjacency=self.random.choice(list(Adjacency)),
                )
                for _ in range(self.random.choice([0, 1, 1]))
            )
            quota = self.random.choice([None, 8])
            customers.append(Customer(name=name, guarantees=guarantees, quota_accelerators=quota))
        margin = self.random.choice([0, 1])
        return Configuration(classes=CLASSES, customers=tuple(customers), failure_margin_vms=margin)


@pytest.mark.parametrize("seed", range(120))
def test_random_schedule_breaks_no_rule_and_loses_no_job(seed: int) -> None:
    simulation = Simulation(seed)
    for _ in range(STEPS):
        simulation.step()
    simulation.drain()
    assert not simulation.checker.jobs.keys() - simulation.finished_jobs
    assert not simulation.scheduler.state.table.jobs
