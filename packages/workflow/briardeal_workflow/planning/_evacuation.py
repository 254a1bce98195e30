"""Evacuation of failure domains: what the planner gives up there, and what waits for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._placement import fits_when_empty, has_label

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm

UNKNOWN_DOMAIN_S = 2.0
"""Time for which an evacuated domain without any VM is not logged; after a takeover, connected VMs
report within that time."""


class EvacuationHandler:
    """Withdraws what is meant to start in the evacuated domains; running tasks go on.

    It answers the load of a whole domain whose tasks have to find other VMs at once: nothing is
    kept there that other VMs could hold.

    Parameters
    ----------
    state
        Planner state to update.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state
        self._changed = False
        self._withdrawn = 0
        self._claims_released = 0
        self._unseen_since_s: dict[str, float] = {}

    def set_domains(self, domains: frozenset[str], now_s: float) -> None:
        """Replace the set of evacuated domains."""
        if domains == self.state.evacuated_domains:
            return
        known = self._unseen_since_s
        added = domains - self.state.evacuated_domains
        self._unseen_since_s = {each: since_s for each, since_s in known.items() if each in domains}
        self._unseen_since_s.update(dict.fromkeys(added, now_s))
        self.state.evacuated_domains = domains
        for vm in self.state.vms.values():
            vm.evacuated_domains = domains
        self._changed = True
        # Starts that wait for their record would be sent before the next round otherwise.
        self._withdraw_all()

    def apply(self, now_s: float) -> None:
        """Withdraw what has come to an evacuated domain since, and log the first such decision.

        VMs may change their domain, and unconfirmed starts of an earlier owner are reported late.
        """
        self._withdraw_all()
        if self._changed:
            log_event(
                Event.EVACUATION_APPLIED,
                domains=sorted(self.state.evacuated_domains),
                attempts_withdrawn=self._withdrawn,
                claims_released=self._claims_released,
                running_tasks=sum(
                    len(vm.attempts) for vm in self.state.vms.values() if vm.evacuated
                ),
            )
            self._changed = False
            self._withdrawn = self._claims_released = 0
        self._log_unseen_domains(now_s)

    def withdraw(self, attempt: Attempt) -> None:
        """Stop an attempt whose start is not confirmed, with the other members of its gang."""
        cause = f"failure domain {self._domain_of(attempt)} is evacuated"
        for each in self.state.stopped_together(attempt):
            self._withdrawn += each.phase is not AttemptPhase.STOPPING
            self.state.stop(each, cause, loss_cause=LossCause.EVACUATED)

    def _withdraw_all(self) -> None:
        if not self.state.evacuated_domains:
            return
        for vm in self.state.vms.values():
            if not vm.evacuated:
                continue
            vm.reserved_for, vm.reserved_until_s = None, float("-inf")
            if vm.claims:
                self._release_claims(vm)
            for attempt in list(vm.attempts.values()):
                if attempt.phase is AttemptPhase.ORDERED:
                    self.withdraw(attempt)

    def _release_claims(self, vm: Vm) -> None:
        """Release the claims on a VM; a gang with one of them loses all of its claims."""
        for group_id in {task.group for task in vm.claims}:
            group = self.state.active_jobs[group_id.job_id].groups[group_id]
            before = len(group.claims)
            cause = f"failure domain {vm.description.failure_domain} is evacuated"
            on_vm = [index for index, claim in group.claims.items() if claim.vm_id == vm.vm_id]
            self.state.release_claims(group, cause, None if group.step.gang else on_vm)
            self._claims_released += before - len(group.claims)

    def _domain_of(self, attempt: Attempt) -> str:
        return self.state.vms[attempt.vm_id].description.failure_domain

    def _log_unseen_domains(self, now_s: float) -> None:
        if not self._unseen_since_s or not self.state.takeover_complete:
            return
        seen = {vm.description.failure_domain for vm in self.state.vms.values()}
        for domain, since_s in list(self._unseen_since_s.items()):
            if domain not in seen and now_s - since_s <= UNKNOWN_DOMAIN_S:
                continue
            del self._unseen_since_s[domain]
            if domain not in seen:
                log_event(
                    Event.EVACUATION_DOUBTFUL,
                    domain=domain,
                    reason="no VM is in this domain; the request is in force for VMs that join",
                )


def find_evacuated_domains(vms: Iterable[Vm], group: TaskGroup) -> list[str]:
    """Return the evacuated domains that keep the waiting tasks of a group from starting.

    These are the domains with free capacity for one of them, and if the group would not fit on the
    empty VMs of all other domains, those with a VM that is large enough.
    """
    suitable = [vm for vm in vms if not vm.description.leaving and has_label(vm, group)]
    evacuated = [vm for vm in suitable if vm.evacuated]
    if not evacuated:
        return []
    others = [vm for vm in suitable if not vm.evacuated]
    needs_domains = not _fits(others, group) and _fits(suitable, group)
    return sorted(
        {
            vm.description.failure_domain
            for vm in evacuated
            if group.task_resources.fits_in(
                vm.description.capacity if needs_domains else vm.unclaimed_capacity()
            )
        }
    )


def _fits(vms: list[Vm], group: TaskGroup) -> bool:
    """Return whether one task, or all members of a gang, fit on empty VMs."""
    if group.step.gang:
        return fits_when_empty(vms, group)
    return any(group.task_resources.fits_in(vm.description.capacity) for vm in vms)
