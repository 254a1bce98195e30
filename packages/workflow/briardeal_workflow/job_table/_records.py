"""Stored records of jobs; the newest record of each key is valid."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_core.decoding import decode_msgpack
from briardeal_workflow.model import Job, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable

JOB = "job"
CANCEL = "cancel"
PROGRESS = "progress"

KINDS = (JOB, CANCEL, PROGRESS)


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a job as last saved by its owner.

    Parameters
    ----------
    started
        Whether any task has started.
    state
        `completed` or `failed` once that is the outcome of the job; empty before.
    done
        Completed tasks, as occurrence, step and index.
    failures
        Failed attempts of incomplete tasks, as occurrence, step, index, number of failures, and
        attempt number of the newest failure.
    failed_numbers
        Failed attempts of incomplete tasks, as occurrence, step, index, and their attempt numbers.
    checkpoints
        Newest checkpoints of incomplete tasks, as occurrence, step, index and checkpoint.
    preemptions
        Preemptions of incomplete tasks, as occurrence, step, index, number of preemptions, and work
        lost by them in core-seconds.
    crashes
        Worker crashes that count against incomplete tasks, as occurrence, step, index, attempt
        number, VM, run time in seconds, whether the crash points at the task rather than at others,
        and weight.
    """

    started: bool = False
    state: str = ""
    done: tuple[tuple[int, int, int], ...] = ()
    failures: tuple[tuple[int, int, int, int, int], ...] = ()
    checkpoints: tuple[tuple[int, int, int, str], ...] = ()
    preemptions: tuple[tuple[int, int, int, int, int], ...] = ()
    failed_numbers: tuple[tuple[int, int, int, tuple[int, ...]], ...] = ()
    crashes: tuple[tuple[int, int, int, int, str, float, bool, int], ...] = ()

    def done_tasks(self, job_id: str) -> Iterable[TaskId]:
        """Return the completed tasks."""
        return (TaskId(job_id, *position) for position in self.done)


def job_key(job_id: str) -> str:
    """Return the key under which a job is stored."""
    return f"{JOB}/{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key under which the cancellation of a job is stored."""
    return f"{CANCEL}/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key under which the progress of a job is stored."""
    return f"{PROGRESS}/{job_id}"


def encode_record(record: Job | Progress) -> bytes:
    """Return the stored form of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(kind: str, value: bytes) -> Job | Progress | None:
    """Return the decoded record, or `None` if it cannot be decoded."""
    try:
        return decode_msgpack(value, Job if kind == JOB else Progress)
    except msgspec.DecodeError:
        return None
