"""Slots of the endpoint, held for requests across all entries."""

from briardeal_agent.permits._permits import Permit, Permits

__all__ = ["Permit", "Permits"]
