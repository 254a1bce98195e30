"""Whether the VMs that have existed over the last minutes could hold a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_workflow.admission._summary import ServiceSummary, VmShape
    from briardeal_workflow.model import Job, Step

MIN_KNOWN_S = 60.0
"""Time for which the owner must have known the VMs before it judges by them that a job never fits;
at a start of all machines, and after a takeover during an outage, VMs come back one by one."""


def find_misfit(job: Job, service: ServiceSummary) -> str:
    """Return why no set of the VMs could ever hold a job; empty if one could, or if unsure.

    Racks do not count: a gang that fits on no single rack is placed on several.
    """
    if service.known_s < MIN_KNOWN_S:
        return ""
    for number, step in enumerate(job.steps):
        vms = _count_vms(step, service)
        if vms is None:
            continue
        held = sum(count * _tasks_on_vm(step, shape) for shape, count in vms)
        if held == 0:
            return f"No VM of the last minutes holds a task of step {number}."
        if step.gang and held < step.tasks:
            return (
                f"Step {number} needs {step.tasks} tasks at once; all VMs of the last minutes"
                f" together hold {held}."
            )
    return ""


def _count_vms(step: Step, service: ServiceSummary) -> list[tuple[VmShape, int]] | None:
    """Return the VMs with the label of a step by shape; `None` if they are not all known."""
    if not service.all_shapes:
        return None
    if not step.label:
        return [(shape, shape.count) for shape in service.shapes]
    for labelled in service.labels:
        if labelled.label == step.label:
            return list(_select_shapes(service, labelled.counts))
    return [] if service.all_labels else None


def _select_shapes(
    service: ServiceSummary, counts: tuple[tuple[int, int], ...]
) -> Iterator[tuple[VmShape, int]]:
    for position, count in counts:
        if 0 <= position < len(service.shapes):
            yield service.shapes[position], count


def _tasks_on_vm(step: Step, shape: VmShape) -> int:
    """Return how many tasks of a step an empty VM holds at once."""
    limits = [step.per_vm_limit or step.tasks]
    cpu_millis = 0 if step.uses_spare_cpu else step.cpu_millis
    if cpu_millis:
        limits.append(shape.cpu_millis // cpu_millis)
    if step.memory_mb:
        limits.append(shape.memory_mb // step.memory_mb)
    if step.accelerators:
        limits.append(shape.accelerators // step.accelerators)
    return min(limits)
