"""The agent beside a worker: carries out the owner's orders and tells what runs."""

from briardeal_workflow.worker._agent import WorkerAgent
from briardeal_workflow.worker._port import (
    Listing,
    NoAnswer,
    Refused,
    Replaced,
    Started,
    StopTaken,
    Worker,
)
from briardeal_workflow.worker._registration import Registration

__all__ = [
    "Listing",
    "NoAnswer",
    "Refused",
    "Registration",
    "Replaced",
    "Started",
    "StopTaken",
    "Worker",
    "WorkerAgent",
]
