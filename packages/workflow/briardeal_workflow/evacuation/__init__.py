"""Failure domains that operators have evacuated, as an entry knows them."""

from briardeal_workflow.evacuation._domains import EvacuatedDomains
from briardeal_workflow.evacuation._requests import EvacuationRequests

__all__ = ["EvacuatedDomains", "EvacuationRequests"]
