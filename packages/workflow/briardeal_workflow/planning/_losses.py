"""Account of attempts that end without a result: one cause for each, and the work that it lost."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import AttemptOutcome, AttemptPhase
from briardeal_workflow.planning._task_groups import UnfinishedAttempts

if TYPE_CHECKING:
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm

BROKEN_PREFIX = "broken gang: "
"""Beginning of the cause of an attempt that ended because another member of its gang did."""


class LossCause(enum.StrEnum):
    """Why an attempt ended without a result; for a broken gang, why the first member did."""

    PREEMPTED = "preempted"
    VM_LOST = "vm lost"
    VM_LEAVING = "vm leaving"
    FAILED = "failed"
    """The task or its VM had a fault, or the job failed because of another task."""
    CANCELLED = "cancelled"
    TAKEOVER = "takeover"
    """Earlier and present owner had both started the task, or an earlier owner had stopped it."""
    LATE_ORDER = "late order"
    """The order was carried out too late or not at all, or its task had ended before."""
    EVACUATED = "evacuated"
    VM_SLOW = "vm slow"
    REFUSED = "refused start"
    """Another member of the gang could not start."""
    MEMBERS_MISSING = "members missing"
    """Other members of the gang did not start in time."""
    UNKNOWN = "unknown"
    """No member of the broken gang ended with a cause of its own."""


BROKEN_OUTCOMES = frozenset({AttemptOutcome.BROKEN, AttemptOutcome.ALONE})
"""Outcomes that follow from the end or the absence of another member of the gang."""


def broken_by(cause: str) -> str:
    """Return the cause of the other members of a gang of which one ended with a cause."""
    return cause if cause.startswith(BROKEN_PREFIX) else BROKEN_PREFIX + cause


def find_cause(attempt: Attempt, outcome: AttemptOutcome, vm: Vm) -> str | None:
    """Return the cause of an end without a result; `None` if other members of the gang have it.

    What the owner stopped has the cause of that stop, whatever the worker says of the end.
    """
    if attempt.loss_cause:
        return attempt.loss_cause
    stopped_for_gang = attempt.phase is AttemptPhase.STOPPING and outcome is AttemptOutcome.STOPPED
    if outcome in BROKEN_OUTCOMES or stopped_for_gang:
        return None
    if outcome is AttemptOutcome.FAILED:
        return LossCause.FAILED
    if vm.description.leaving:
        return LossCause.VM_LEAVING
    if outcome is AttemptOutcome.STOPPED:
        return LossCause.TAKEOVER
    if attempt.first_listed_s is None and vm.reachable:
        return LossCause.LATE_ORDER
    return LossCause.VM_LOST


@attrs.frozen(eq=False)
class Loss:
    """An attempt that ended without a result.

    Parameters
    ----------
    attempt, outcome
        Attempt, and how it ended.
    ran_s, saved, lost_core_s
        Time since its start order, whether a checkpoint holds its work, and what was lost.
    """

    attempt: Attempt
    outcome: AttemptOutcome
    ran_s: float
    saved: bool
    lost_core_s: float


class LossAccount:
    """Logs each attempt that ends without a result, once its cause is known.

    Workers report the members of a broken gang at once, but the lost VM that broke it only becomes
    certain when its lease ends. Such members are logged with the first member that ends with a
    cause of its own, or with the last one.
    """

    def record_end(
        self,
        active_job: ActiveJob,
        group: TaskGroup,
        attempt: Attempt,
        vm: Vm,
        outcome: AttemptOutcome,
        checkpoint: str,
        now_s: float,
    ) -> str | None:
        """Record the end of an attempt and return its cause; `None` if it has none of its own."""
        cause = None
        if outcome is AttemptOutcome.REFUSED:
            cause = LossCause.REFUSED
        elif outcome is not AttemptOutcome.DONE:
            cause = find_cause(attempt, outcome, vm)
            loss = _measure_loss(attempt, outcome, checkpoint, now_s)
            if cause is None:
                group.unexplained_losses.append(loss)
            else:
                _log_loss(active_job, group, loss, cause)
        if group.unexplained_losses:
            self._explain(active_job, group, attempt.number, cause)
        return cause

    def _explain(
        self, active_job: ActiveJob, group: TaskGroup, number: int, cause: str | None
    ) -> None:
        members = []
        if group.step.gang:
            members = [each for each in group.active_attempts() if each.number == number]
        if cause is None:
            cause = next((each.loss_cause for each in members if each.loss_cause), None)
        if cause is None and not members:
            losses = [each for each in group.unexplained_losses if each.attempt.number == number]
            alone = any(each.outcome is AttemptOutcome.ALONE for each in losses)
            cause = LossCause.MEMBERS_MISSING if alone else LossCause.UNKNOWN
        if cause is None:
            return
        remaining = []
        for loss in group.unexplained_losses:
            if loss.attempt.number == number:
                _log_loss(active_job, group, loss, broken_by(cause))
            else:
                remaining.append(loss)
        group.unexplained_losses = remaining


def _measure_loss(attempt: Attempt, outcome: AttemptOutcome, checkpoint: str, now_s: float) -> Loss:
    ran_s = max(0.0, now_s - attempt.ordered_s)
    saved = bool(checkpoint or attempt.checkpoint)
    lost_s = min(ran_s, attempt.restart_s) if saved else ran_s
    return Loss(attempt, outcome, ran_s, saved, lost_s * attempt.resources.core_equivalents)


def _log_loss(active_job: ActiveJob, group: TaskGroup, loss: Loss, cause: str) -> None:
    """Log a lost attempt, and what such attempts of its task have lost in all."""
    attempt = loss.attempt
    unfinished = group.unfinished.setdefault(attempt.task.index, UnfinishedAttempts())
    unfinished.count += 1
    unfinished.lost_core_s += loss.lost_core_s
    log_event(
        Event.ATTEMPT_ENDED,
        job_id=attempt.task.job_id,
        queue=active_job.queue.name,
        task=str(attempt.task),
        number=attempt.number,
        vm=attempt.vm_id,
        outcome=loss.outcome,
        ran_s=round(loss.ran_s, 3),
        saved=loss.saved,
        lost_core_s=round(loss.lost_core_s, 1),
        unfinished_attempts=unfinished.count,
        lost_in_all_core_s=round(unfinished.lost_core_s, 1),
        loss_cause=cause,
    )
