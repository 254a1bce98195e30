"""Record of jobs that wait while jobs of their class that were accepted later start tasks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._orders import StartTask

if TYPE_CHECKING:
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._state import PlannerState


def record_passed_over(state: PlannerState, wall_s: float) -> None:
    """Count the tasks that started this round before those of jobs that have waited for longer.

    A job is logged whenever the number of such tasks reaches a further power of two.
    """
    starts = Counter(order.task.job_id for order in state.orders if isinstance(order, StartTask))
    starters = [state.active_jobs[job_id] for job_id in starts]
    if not starters:
        return
    for waiting in state.active_jobs.values():
        if waiting.finished or not waiting.waits:
            continue
        later = [each for each in starters if _is_later_in_class(each, waiting)]
        if later:
            count = sum(starts[each.job.job_id] for each in later)
            _record(waiting, max(later, key=lambda each: starts[each.job.job_id]), count, wall_s)


def _is_later_in_class(starter: ActiveJob, waiting: ActiveJob) -> bool:
    return starter.queue.name == waiting.queue.name and starter.accepted_s > waiting.accepted_s


def _record(waiting: ActiveJob, starter: ActiveJob, count: int, wall_s: float) -> None:
    logged = waiting.passed_over.bit_length()
    waiting.passed_over += count
    if waiting.passed_over.bit_length() == logged:
        return
    log_event(
        Event.JOB_PASSED_OVER,
        job_id=waiting.job.job_id,
        queue=waiting.queue.name,
        starts=waiting.passed_over,
        accepted_for_s=round(wall_s - waiting.accepted_s, 3),
        due_in_s=round(waiting.due_in_s(wall_s), 3),
        work_left_core_s=round(waiting.work_left_core_s(wall_s), 1),
        started=starter.job.job_id,
        started_due_in_s=round(starter.due_in_s(wall_s), 3),
        started_work_left_core_s=round(starter.work_left_core_s(wall_s), 1),
    )
