"""Log lines that say what tasks wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._evacuation import find_evacuated_domains
from briardeal_workflow.planning._task_groups import WaitCause

if TYPE_CHECKING:
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup

CAPACITY_CAUSES = (WaitCause.CAPACITY, WaitCause.NO_VICTIMS, WaitCause.COSTS_MORE)
"""Causes of a wait for capacity that may be there, in an evacuated domain."""

WAIT_LOG_DELAY_S = 1.1
"""Wait of tasks that is not logged; the usual time for a preemption, or for a task to end."""


class WaitLog:
    """Logs what the tasks of a group wait for, once for each change.

    Parameters
    ----------
    state
        Planner state with the VMs.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state

    def record(
        self, active_job: ActiveJob, group: TaskGroup, cause: WaitCause, now_s: float
    ) -> None:
        """Log the wait of the unplaced tasks of a group, for an evacuated domain if it is that."""
        waited_s = now_s - (now_s if group.ready_s is None else group.ready_s)
        domains = None
        if cause in CAPACITY_CAUSES and waited_s > WAIT_LOG_DELAY_S:
            if active_job.queue.regions and not self.state.vms_of(active_job):
                cause = WaitCause.REGIONS
            elif self.state.evacuated_domains:
                domains = find_evacuated_domains(self.state.vms_of(active_job), group)
                cause = WaitCause.EVACUATED if domains else cause
        self.write(active_job, group, cause, waited_s, now_s, domains=domains)

    def write(
        self,
        active_job: ActiveJob,
        group: TaskGroup,
        cause: WaitCause,
        waited_s: float,
        now_s: float,
        tasks: int | None = None,
        domains: list[str] | None = None,
    ) -> None:
        """Log a wait, unless it is short or its cause was logged before.

        Parameters
        ----------
        waited_s
            How long the tasks have waited, in seconds.
        tasks
            Number of tasks that wait; by default that of the tasks without a VM.
        domains
            Evacuated failure domains that the tasks wait for.
        """
        if waited_s < WAIT_LOG_DELAY_S or cause is group.wait_cause:
            return
        group.wait_cause = cause
        wall_s = now_s + self.state.wall_offset_s
        log_event(
            Event.JOB_WAITS,
            job_id=active_job.job.job_id,
            queue=active_job.queue.name,
            step=group.group_id.step,
            tasks=(
                len(group.unplaced_indices()) + len(group.unreported_vms)
                if tasks is None
                else tasks
            ),
            cause=cause,
            ready_for_s=round(waited_s, 3),
            accepted_for_s=round(wall_s - active_job.accepted_s, 3),
            due_in_s=round(active_job.due_in_s(wall_s), 3),
            work_left_core_s=round(active_job.work_left_core_s(wall_s), 1),
            **({"domains": domains} if domains else {}),
        )
