"""Choice of VMs for a job, of reservations, and of jobs to preempt."""

from briardeal_scheduling.placement._fit import (
    ResourceDemand,
    choose_workers,
    fits_idle_vms,
    has_capacity,
)
from briardeal_scheduling.placement._preemption import (
    PreemptionPlan,
    plan_preemptions,
    plan_preemptions_in_any_group,
)
from briardeal_scheduling.placement._reservation import find_reservation

__all__ = [
    "ResourceDemand",
    "PreemptionPlan",
    "choose_workers",
    "find_reservation",
    "fits_idle_vms",
    "has_capacity",
    "plan_preemptions",
    "plan_preemptions_in_any_group",
]
