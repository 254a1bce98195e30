"""Guaranteed shapes of capacity: where they are set aside, who uses them, which are short."""

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
    "GuaranteeKey",
    "GuaranteeLedger",
    "BookingPlan",
    "Shortfall",
    "GuaranteeDemand",
    "guarantee_covers",
    "plan_bookings",
]
