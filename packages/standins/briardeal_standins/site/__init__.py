"""Entries, agents and endpoints in one event loop, with faults to order."""

from briardeal_standins.site._calls import Call
from briardeal_standins.site._drive import send_load
from briardeal_standins.site._faults import FAULTS
from briardeal_standins.site._site import SERVICE, Site

__all__ = ["FAULTS", "SERVICE", "Call", "Site", "send_load"]
