"""Guaranteed shapes of capacity: where they are set aside, who uses them, which are short."""

from briardeal_scheduling.guarantees._ledger import Booking, Ledger, Shortfall, covers
from briardeal_scheduling.guarantees._plan import GuaranteeKey, Plan, Want, make_plan

__all__ = ["Booking", "GuaranteeKey", "Ledger", "Plan", "Shortfall", "Want", "covers", "make_plan"]
