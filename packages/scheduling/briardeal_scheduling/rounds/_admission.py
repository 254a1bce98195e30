"""Admission check: rejects jobs that can never run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_core.configuration import Guarantee
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_scheduling.decisions import Cause
from briardeal_scheduling.fleet import groups_of
from briardeal_scheduling.guarantees import (
    GuaranteeDemand,
    GuaranteeKey,
    guarantee_covers,
    plan_bookings,
)
from briardeal_scheduling.placement import fits_idle_vms

if TYPE_CHECKING:
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling.guarantees import BookingPlan
    from briardeal_scheduling.rounds._state import SchedulerState


def check_request(state: SchedulerState, request: JobRequest) -> Refusal | None:
    """Return why a job can never run, or `None` if it can."""
    return (
        _check_shape(request)
        or _check_names(state, request)
        or _check_quota(state, request)
        or _check_capacity(state, request)
    )


def _check_shape(request: JobRequest) -> Refusal | None:
    counts = request.tasks >= 1 and request.accelerators_per_task >= 0
    if counts and 0 < request.declared_run_s < math.inf:
        return None
    return _refuse(Reason.REQUEST_INVALID, Cause.REFUSED_SHAPE.format_sentence())


def _check_names(state: SchedulerState, request: JobRequest) -> Refusal | None:
    if request.customer not in state.customers:
        detail = Cause.REFUSED_UNKNOWN_CUSTOMER.format_sentence(customer=request.customer)
        return _refuse(Reason.REQUEST_INVALID, detail)
    if request.job_class not in state.classes:
        detail = Cause.REFUSED_UNKNOWN_CLASS.format_sentence(job_class=request.job_class)
        return _refuse(Reason.REQUEST_INVALID, detail)
    return None


def _check_quota(state: SchedulerState, request: JobRequest) -> Refusal | None:
    quota = state.customers[request.customer].quota_accelerators
    needed = request.tasks * request.accelerators_per_task
    if quota is None or needed <= quota:
        return None
    detail = Cause.REFUSED_QUOTA.format_sentence(
        needed=needed, customer=request.customer, quota=quota
    )
    return _refuse(Reason.JOB_NEVER_FITS, detail)


def _check_capacity(state: SchedulerState, request: JobRequest) -> Refusal | None:
    fleet = state.fleet
    key = (fleet.shapes_version, request.tasks, request.accelerators_per_task, request.adjacency)
    shapes = [worker.shape for worker in fleet.workers.values()]
    shapes.extend(fleet.lost_shapes.values())
    if key not in state.fits_idle_vms:
        state.fits_idle_vms[key] = fits_idle_vms(shapes, request)
    if not state.fits_idle_vms[key]:
        detail = Cause.REFUSED_NEVER_FITS.format_sentence(
            vms=request.tasks, accelerators=request.accelerators_per_task
        )
        return _refuse(Reason.JOB_NEVER_FITS, detail)
    pinned = request.accelerators_per_task and not (request.idempotent and request.checkpointable)
    if pinned and not _fits_without_preemption(state, request, shapes):
        return _refuse(Reason.JOB_NEVER_FITS, Cause.REFUSED_GUARANTEES.format_sentence())
    return None


def _fits_without_preemption(
    state: SchedulerState, request: JobRequest, shapes: list[WorkerShape]
) -> bool:
    """Return whether a job that can't be preempted fits outside guarantees, or within its own."""
    key = (
        state.fleet.shapes_version,
        request.tasks,
        request.accelerators_per_task,
        request.adjacency,
    )
    if key not in state.ledger.fits_beside:
        state.ledger.fits_beside[key] = _fits_beside_guarantees(state, request, shapes)
    return state.ledger.fits_beside[key] or _fits_own_guarantee(state, request, shapes)


def _fits_own_guarantee(
    state: SchedulerState, request: JobRequest, shapes: list[WorkerShape]
) -> bool:
    bookings = [
        booking
        for booking in state.ledger.bookings_by_customer.get(request.customer, ())
        if guarantee_covers(booking.guarantee, request)
    ]
    if not bookings:
        return False
    assignments = _plan_idle_fleet(state, shapes).assignments
    return any(len(assignments[booking.key]) >= request.tasks for booking in bookings)


def _fits_beside_guarantees(
    state: SchedulerState, request: JobRequest, shapes: list[WorkerShape]
) -> bool:
    """Return whether the guarantees get as many VMs while the job runs as they do without it."""
    job_shape = Guarantee(
        job_class=request.job_class,
        vms=request.tasks,
        accelerators_per_vm=request.accelerators_per_task,
        adjacency=request.adjacency,
    )
    job_demand = GuaranteeDemand(GuaranteeKey("", 0), job_shape)
    without_job = _plan_idle_fleet(state, shapes)
    with_job = _plan_idle_fleet(state, shapes, job_demand)
    guarantees_kept = all(
        len(with_job.assignments[key]) >= len(assignments)
        for key, assignments in without_job.assignments.items()
    )
    job_fits = len(with_job.assignments[job_demand.key]) == request.tasks
    return guarantees_kept and job_fits and (with_job.margin_held or not without_job.margin_held)


def _plan_idle_fleet(
    state: SchedulerState, shapes: list[WorkerShape], *more: GuaranteeDemand
) -> BookingPlan:
    capacities = {shape.worker_id: shape.accelerators for shape in shapes}
    groups = {shape.worker_id: groups_of(shape) for shape in shapes}
    demands = [
        GuaranteeDemand(booking.key, booking.guarantee)
        for booking in state.ledger.bookings.values()
    ]
    return plan_bookings(capacities, groups, [*demands, *more], state.ledger.margin_vms)


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(reason, RunState.NOT_RUN, detail=detail)
