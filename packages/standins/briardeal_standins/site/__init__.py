"""Entries, agents and endpoints of one region in one event loop, with injected faults."""

from briardeal_standins.site._calls import Call
from briardeal_standins.site._faults import FAULTS
from briardeal_standins.site._load import send_load
from briardeal_standins.site._site import SERVICE, Site

__all__ = ["FAULTS", "SERVICE", "Call", "Site", "send_load"]
