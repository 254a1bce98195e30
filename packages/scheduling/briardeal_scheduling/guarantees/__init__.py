"""Capacity guaranteed to customers: booking of VMs, jobs that use them, and shortfalls."""

from briardeal_scheduling.guarantees._ledger import (
    Booking,
    GuaranteeLedger,
    Shortfall,
    guarantee_covers,
)
from briardeal_scheduling.guarantees._plan import (
    BookingPlan,
    GuaranteeDemand,
    GuaranteeKey,
    plan_bookings,
)

__all__ = [
    "Booking",
    "BookingPlan",
    "GuaranteeDemand",
    "GuaranteeKey",
    "GuaranteeLedger",
    "Shortfall",
    "guarantee_covers",
    "plan_bookings",
]
