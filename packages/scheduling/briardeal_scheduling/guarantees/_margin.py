"""Check of the failure margin of the guarantees."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardeal_core.configuration import Adjacency
    from briardeal_scheduling.fleet import TopologyGroup


def margin_holds(
    capacities: Mapping[str, int],
    members: Mapping[TopologyGroup, list[str]],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    booked: Mapping[str, int],
    closest: Mapping[str, Adjacency],
    margin_vms: int,
) -> bool:
    """Return whether every booked VM has enough spare VMs in its closest group.

    A spare is a VM without bookings that has the capacity for everything booked on the failed VM.
    With as many spares as failures, each failed VM can be replaced by a spare of its own.

    Parameters
    ----------
    capacities
        Accelerators of each VM that are neither booked nor pinned.
    members, groups
        VMs of each group, and groups of each VM.
    booked
        Accelerators booked on each VM that has bookings.
    closest
        Closest adjacency of the guarantees on each VM.
    margin_vms
        Number of VMs that may fail.
    """
    spares: dict[TopologyGroup, list[int]] = {}
    for worker_id, need in booked.items():
        group = groups[worker_id][closest[worker_id]]
        if group not in spares:
            spares[group] = [capacities[vm] for vm in members[group] if vm not in booked]
        if sum(capacity >= need for capacity in spares[group]) < margin_vms:
            return False
    return True
