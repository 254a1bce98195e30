"""The agent beside a worker: carries out the owner's orders and tells what runs."""

from briardeal_workflow.worker._agent import LEASE_EXPIRY_S, WorkerAgent
from briardeal_workflow.worker._port import (
    UNHEALTHY,
    Listing,
    NoAnswer,
    Refused,
    Replaced,
    Started,
    StopAccepted,
    Worker,
)
from briardeal_workflow.worker._registration import Registration

__all__ = [
    "LEASE_EXPIRY_S",
    "UNHEALTHY",
    "Listing",
    "NoAnswer",
    "Refused",
    "Registration",
    "Replaced",
    "Started",
    "StopAccepted",
    "Worker",
    "WorkerAgent",
]
