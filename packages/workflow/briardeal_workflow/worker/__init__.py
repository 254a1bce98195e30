"""The agent beside a worker: executes the owner's orders and reports running tasks."""

from briardeal_workflow.worker._agent import WorkerAgent
from briardeal_workflow.worker._interface import (
    UNHEALTHY,
    Listing,
    NoAnswer,
    Refused,
    Replaced,
    Started,
    StopAccepted,
    Superseded,
    Worker,
)
from briardeal_workflow.worker._lease import LEASE_EXPIRY_S
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
    "Superseded",
    "Worker",
    "WorkerAgent",
]
