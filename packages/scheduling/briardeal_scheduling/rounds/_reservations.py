"""Reservations of VMs for large jobs during a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_scheduling.placement import ResourceDemand, find_reservation

if TYPE_CHECKING:
    from briardeal_scheduling.queue import Job, Reservation
    from briardeal_scheduling.rounds._state import SchedulerState

RESERVATION_LIMIT = 2
"""Most reservations at a time."""

RESERVATION_TTL_S = 600.0
"""Time after which the VMs of a reservation are chosen again, in seconds.

Better ones may exist by then.
"""


class RoundReservations:
    """Reservations of a round, made in the order in which jobs are scheduled."""

    def __init__(self, state: SchedulerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.active: list[Reservation] = []

    @property
    def workers(self) -> set[str]:
        """All reserved VMs."""
        return {worker_id for reservation in self.active for worker_id in reservation.workers}

    def reserve(self, job: Job) -> Reservation | None:
        """Reserve VMs for a job that can't start, up to the limit of reservations."""
        if not job.accelerators or len(self.active) >= RESERVATION_LIMIT:
            return None
        if (
            job.reservation is None
            or self.now_s - job.reservation.reserved_at_s > RESERVATION_TTL_S
        ):
            job.reservation = find_reservation(
                self.state.fleet,
                ResourceDemand.from_request(job.request),
                self._expected_end_s,
                self.now_s,
                self.workers | self.state.avoided_workers(job, self.now_s),
                unbooked=not job.preemptible,
            )
        if job.reservation is not None:
            self.active.append(job.reservation)
        return job.reservation

    def workers_closed_to(self, job: Job) -> set[str]:
        """Return VMs reserved for other jobs that a job is not expected to leave in time.

        A preemptible job may use all reserved VMs: it is preempted when the larger job can start.
        """
        if not self.active or job.preemptible:
            return set()
        prediction = self.state.predict_run_time(job, self.now_s)
        end_s = self.now_s + prediction.remaining_p90_s(job.saved_run_s)
        return {
            vm
            for reservation in self.active
            if end_s > reservation.free_at_s
            for vm in reservation.workers
        }

    def _expected_end_s(self, job_id: str) -> float:
        job = self.state.table.jobs[job_id]
        if job.preempt_mode:
            return self.now_s
        prediction = self.state.predict_run_time(job, self.now_s)
        return self.now_s + prediction.remaining_s(job.elapsed_s(self.now_s))
