"""Conversion of fields of VM reports for the planner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning import AttemptOutcome, Resources, VmDescription

if TYPE_CHECKING:
    from briardeal_workflow.control import VmState


def parse_outcome(name: str) -> AttemptOutcome:
    """Return the outcome of an attempt by its name.

    An unknown name becomes `AttemptOutcome.LOST`, which frees the capacity and does not count as a
    failure.
    """
    try:
        return AttemptOutcome(name)
    except ValueError:
        log_event(Event.RECORD_BROKEN, key="end", detail=name)
        return AttemptOutcome.LOST


def describe_vm(agent_id: str, vm: VmState) -> VmDescription:
    """Return the capacity and location of a VM as the planner needs them."""
    return VmDescription(
        agent_id,
        vm.incarnation,
        vm.service,
        Resources(vm.cpu_millis, vm.memory_mb, vm.accelerators),
        frozenset(vm.labels),
        vm.rack,
        vm.failure_domain,
        vm.leaving,
    )
