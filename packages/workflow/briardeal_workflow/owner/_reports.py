"""Conversion of fields of VM reports for the planner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning import End, Need, Shape

if TYPE_CHECKING:
    from briardeal_workflow.control import VmState


def parse_end(name: str) -> End:
    """Return the end of an attempt by its name.

    An unknown name becomes `End.LOST`, which frees the capacity and does not count as a failure.
    """
    try:
        return End(name)
    except ValueError:
        log_event(Event.RECORD_BROKEN, key="end", detail=name)
        return End.LOST


def shape_from_vm(agent_id: str, vm: VmState) -> Shape:
    """Return the capacity and location of a VM as the planner needs them."""
    return Shape(
        agent_id,
        vm.incarnation,
        vm.service,
        Need(vm.cpu_millis, vm.memory_mb, vm.accelerators),
        frozenset(vm.labels),
        vm.rack,
        vm.failure_domain,
        vm.leaving,
    )
