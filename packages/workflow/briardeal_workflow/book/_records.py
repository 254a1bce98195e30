"""Records of jobs; the newest of each key holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_workflow.model import Job, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable

JOB = "job"
CANCEL = "cancel"
PROGRESS = "progress"

KINDS = (JOB, CANCEL, PROGRESS)


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """How far a job has come, as its owner has last noted it.

    Parameters
    ----------
    started
        Whether a task of it has started.
    state
        `completed` or `failed` once it is over, else empty.
    done
        Tasks that are done, as occurrence, step and index.
    failures
        Failed runs of tasks that are not done, as occurrence, step, index, how many,
        and the number of the newest of them.
    checkpoints
        Newest checkpoints of tasks that are not done, as occurrence, step, index and checkpoint.
    """

    started: bool = False
    state: str = ""
    done: tuple[tuple[int, int, int], ...] = ()
    failures: tuple[tuple[int, int, int, int, int], ...] = ()
    checkpoints: tuple[tuple[int, int, int, str], ...] = ()

    def done_tasks(self, job_id: str) -> Iterable[TaskId]:
        """Return the tasks that are done."""
        return (TaskId(job_id, *place) for place in self.done)


def job_key(job_id: str) -> str:
    """Return the key under which a job is kept."""
    return f"{JOB}/{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key under which the cancelling of a job is kept."""
    return f"{CANCEL}/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key under which the progress of a job is kept."""
    return f"{PROGRESS}/{job_id}"


def encode_record(record: Job | Progress) -> bytes:
    """Return a record as it is kept."""
    return msgspec.msgpack.encode(record)


def decode_record(kind: str, value: bytes) -> Job | Progress | None:
    """Return the record of a key, or `None` where it can't be read."""
    try:
        return msgspec.msgpack.decode(value, type=Job if kind == JOB else Progress)
    except msgspec.DecodeError:
        return None
