"""Checks decisions against a second record of running jobs, and guarantees by exact search."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from briardeal_core.configuration import Adjacency
from briardeal_scheduling import Abandon, Preempt, Start

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling import Scheduler


class Checker:
    """Applies decisions to its own record of running jobs and fails if one breaks a rule."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.shapes: dict[str, WorkerShape] = {}
        self.jobs: dict[str, JobRequest] = {}
        self.running: dict[str, tuple[str, ...]] = {}
        self.leaving: set[str] = set()
        self.abandoned: set[str] = set()

    def apply(self, decisions: list, scheduler: Scheduler) -> None:
        """Apply the decisions of a round, in order, then check the guarantees."""
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(decision)
            elif isinstance(decision, Preempt):
                assert decision.job_id in self.running
                self.leaving.add(decision.job_id)
            elif isinstance(decision, Abandon):
                assert decision.job_id not in self.running
                self.abandoned.add(decision.job_id)
            assert decision.explanation
        self._check_guarantees(scheduler)

    def end(self, job_id: str) -> None:
        """Remove an attempt that has ended."""
        del self.running[job_id]
        self.leaving.discard(job_id)

    def group(self, worker_id: str, adjacency: Adjacency) -> tuple[str, ...]:
        """Return the region, failure domain or rack of a VM, as the adjacency says."""
        shape = self.shapes[worker_id]
        parts = (shape.region, shape.failure_domain, shape.rack)
        return parts[: 3 - list(Adjacency).index(adjacency)]

    def _start(self, start: Start) -> None:
        request = self.jobs[start.job_id]
        workers = start.placement.workers
        assert start.job_id not in self.running
        assert start.job_id not in self.abandoned
        assert len(workers) == request.tasks == len(set(workers))
        assert start.placement.accelerators == request.accelerators_per_task
        assert len({self.group(worker_id, request.adjacency) for worker_id in workers}) == 1
        self.running[start.job_id] = workers
        for worker_id in workers:
            assert self._used(worker_id) <= self.shapes[worker_id].accelerators
        customer = next(c for c in self.configuration.customers if c.name == request.customer)
        held = sum(
            self.jobs[job_id].accelerators_per_task * len(where)
            for job_id, where in self.running.items()
            if self.jobs[job_id].customer == customer.name
        )
        assert customer.quota_accelerators is None or held <= customer.quota_accelerators

    def _used(self, worker_id: str) -> int:
        return sum(
            self.jobs[job_id].accelerators_per_task
            for job_id, workers in self.running.items()
            if worker_id in workers
        )

    def _check_guarantees(self, scheduler: Scheduler) -> None:
        jobs_by_guarantee = self._jobs_by_guarantee(scheduler)
        ledger = scheduler.state.ledger
        if ledger.shortfalls():
            workers = scheduler.state.fleet.workers.values()
            set_aside = frozenset(vm.worker_id for vm in workers if not vm.usable)
            pending = scheduler.state.ledger.guarantee_by_job.keys() - self.running.keys()
            assert pending or not self._fits(
                jobs_by_guarantee, set_aside
            ), "shortfall reported, but all guarantees fit"
            return
        margin = self.configuration.failure_margin_vms if ledger.margin_held else 0
        for failed in itertools.combinations(self.shapes, margin):
            assert self._fits(
                jobs_by_guarantee, frozenset(failed)
            ), f"guarantees don't fit without {failed}"

    def _jobs_by_guarantee(self, scheduler: Scheduler) -> dict[tuple[str, int], list[str]]:
        """Return the running jobs of each guarantee, after checking that it covers them."""
        jobs_by_guarantee: dict[tuple[str, int], list[str]] = {}
        for job_id, key in scheduler.state.ledger.guarantee_by_job.items():
            if job_id not in self.running:
                continue
            request = self.jobs[job_id]
            guarantee = self._guarantee(key.customer, key.position)
            assert request.customer == key.customer
            assert request.job_class == guarantee.job_class
            assert request.accelerators_per_task <= guarantee.accelerators_per_vm
            jobs_by_guarantee.setdefault((key.customer, key.position), []).append(job_id)
        return jobs_by_guarantee

    def _guarantee(self, customer: str, position: int):
        owner = next(c for c in self.configuration.customers if c.name == customer)
        return owner.guarantees[position]

    def _fits(
        self, jobs_by_guarantee: dict[tuple[str, int], list[str]], failed: frozenset[str]
    ) -> bool:
        """Return whether some assignment gives every guarantee its VMs without the failed ones."""
        alive = {
            job_id: workers
            for job_id, workers in self.running.items()
            if not failed.intersection(workers)
        }
        capacities = {
            vm: shape.accelerators for vm, shape in self.shapes.items() if vm not in failed
        }
        guaranteed_jobs = {job_id for jobs in jobs_by_guarantee.values() for job_id in jobs}
        for job_id, workers in alive.items():
            request = self.jobs[job_id]
            if job_id not in guaranteed_jobs and not (
                request.idempotent and request.checkpointable
            ):
                for worker_id in workers:
                    capacities[worker_id] -= request.accelerators_per_task
        demands = []
        for customer in self.configuration.customers:
            for position, guarantee in enumerate(customer.guarantees):
                users = jobs_by_guarantee.get((customer.name, position), [])
                own = [vm for job_id in users if job_id in alive for vm in alive[job_id]]
                assert len(own) == len(set(own)) <= guarantee.vms
                for worker_id in own:
                    capacities[worker_id] -= guarantee.accelerators_per_vm
                demands.append((guarantee, own))
        return min(capacities.values(), default=0) >= 0 and self._search(demands, capacities)

    def _search(self, demands: list, capacities: dict[str, int]) -> bool:
        if not demands:
            return True
        (guarantee, own), *rest = demands
        need = guarantee.accelerators_per_vm
        groups = {self.group(vm, guarantee.adjacency) for vm in own or capacities}
        for group in groups:
            members = [
                vm
                for vm in capacities
                if vm not in own
                and capacities[vm] >= need
                and self.group(vm, guarantee.adjacency) == group
            ]
            for chosen in itertools.combinations(members, guarantee.vms - len(own)):
                remaining = {vm: capacities[vm] - need * (vm in chosen) for vm in capacities}
                if self._search(rest, remaining):
                    return True
        return False
