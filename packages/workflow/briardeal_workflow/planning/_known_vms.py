"""VMs that have existed over the last minutes."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.admission import (
    MAX_LABELS,
    MAX_NAME_CHARS,
    MAX_SHAPES,
    LabelledVms,
    VmShape,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.planning._vms import Resources, Vm

KEPT_S = 300.0
"""Time for which a VM counts after it was last known; a restart of all machines takes less."""

CAPACITY_WINDOW_S = 60.0
"""Time over which the largest capacity counts as one that may return soon; most disturbances last
some seconds, and a quarantine lasts 48 s at most."""

MAX_KNOWN_VMS = 2_000
"""Largest number of VMs to remember; those known longest ago are forgotten first."""


@attrs.frozen
class VmShapes:
    """VMs of a service by their capacity and labels.

    Parameters
    ----------
    shapes, labels
        VMs by capacity, and by label.
    all_shapes, all_labels
        Whether none has been left out.
    """

    shapes: tuple[VmShape, ...]
    labels: tuple[LabelledVms, ...]
    all_shapes: bool
    all_labels: bool


@attrs.define
class _KnownVm:
    service: str
    capacity: Resources
    labels: frozenset[str]
    seen_s: float


@attrs.define(eq=False)
class KnownVms:
    """Remembers the VMs and the capacity of each service over the last minutes.

    A VM that is replaced by one of another name, or that changes its shape, counts with both, so
    that more rather than less is taken to have existed.
    """

    _vms: dict[tuple[str, Resources], _KnownVm] = attrs.field(factory=dict)
    _cores: dict[tuple[str, str], deque[tuple[float, float]]] = attrs.field(factory=dict)

    def record(self, vms: Iterable[Vm], now_s: float) -> None:
        """Record the VMs that are known now, whether they can be reached or not."""
        for vm in vms:
            key = (vm.vm_id, vm.description.capacity)
            known = self._vms.pop(key, None)
            if known is None:
                known = _KnownVm("", vm.description.capacity, frozenset(), now_s)
            known.service, known.labels = vm.description.service, vm.description.labels
            known.seen_s = now_s
            # The order of the dictionary is that in which the VMs were last seen.
            self._vms[key] = known
        for key, known in list(self._vms.items()):
            if known.seen_s > now_s - KEPT_S and len(self._vms) <= MAX_KNOWN_VMS:
                break
            del self._vms[key]

    def record_cores(self, service: str, kind: str, cores: float, now_s: float) -> float:
        """Record the capacity of a service; return the largest one of the last minute, in cores."""
        recorded = self._cores.setdefault((service, kind), deque())
        while recorded and recorded[0][0] < now_s - CAPACITY_WINDOW_S:
            recorded.popleft()
        # Smaller capacities before this one can't become the largest any more.
        while recorded and recorded[-1][1] <= cores:
            recorded.pop()
        recorded.append((now_s, cores))
        return recorded[0][1]

    def services(self) -> list[str]:
        """Return the services that have had VMs."""
        return sorted({known.service for known in self._vms.values()})

    def shapes_of(self, service: str) -> VmShapes:
        """Return the VMs of a service by capacity and label."""
        by_shape: Counter[Resources] = Counter()
        by_label: dict[str, Counter[Resources]] = {}
        for known in self._vms.values():
            if known.service != service:
                continue
            by_shape[known.capacity] += 1
            for label in known.labels:
                by_label.setdefault(label, Counter())[known.capacity] += 1
        listed = [shape for shape, _ in by_shape.most_common(MAX_SHAPES)]
        positions = {shape: position for position, shape in enumerate(listed)}
        names = sorted(name for name in by_label if len(name) <= MAX_NAME_CHARS)[:MAX_LABELS]
        return VmShapes(
            tuple(
                VmShape(each.cpu_millis, each.memory_mb, each.accelerators, by_shape[each])
                for each in listed
            ),
            tuple(
                LabelledVms(
                    name,
                    tuple(
                        (positions[shape], count)
                        for shape, count in by_label[name].items()
                        if shape in positions
                    ),
                )
                for name in names
            ),
            len(listed) == len(by_shape),
            len(names) == len(by_label),
        )
