"""Counters of events and histograms of times."""

from __future__ import annotations

from typing import Any

from briardeal_core.events import Event
from briardeal_core.metrics import Metrics

CALL_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""Histogram bounds for calls; a healthy store answers within 10 ms."""

EARLY_END_S = 3.0
"""Run time before which the end of an attempt shows that it was started where it could not stay."""

START_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.1, 2.7, 5.0, 10.0, 30.0)
"""Histogram bounds for first starts and takeovers; the target for urgent jobs is 1.1 s."""

OUTCOME_FIELDS = ("reason", "outcome", "end", "status", "cause")
"""Fields of events that can be the label `outcome`; the first that an event has is used."""

PREEMPTION_PREFIX = "makes room"
"""Prefix of causes that end with a job ID. Only the prefix is counted, as every job would get its
own counter otherwise."""


class WorkflowMetrics(Metrics):
    """Metrics of an entry or an agent.

    Attributes
    ----------
    events
        Number of events by name and outcome.
    acceptance_s
        Duration of the acceptance or refusal of a job, in seconds.
    first_start_s
        Time from the acceptance of a job to the first start of a task, in seconds.
    end_shown_s
        Time from the end of the last task of a job until its final state is stored, in seconds.
    store_call_s
        Duration of calls to the store, in seconds.
    jobs
        Number of jobs by queue and what became of them.
    admissions
        Number of decisions on jobs that were handed in, by queue and outcome.
    preempted_tasks
        Number of preempted tasks by queue, and by whether that task was preempted before.
    preempted_core_s
        Work lost by preemptions by queue, in core-seconds.
    unfinished_attempts
        Number of attempts that ended without a result, by queue, outcome, and whether soon after
        their start.
    lost_core_s
        Work lost by them, by queue and outcome, in core-seconds.
    lost_by_cause_core_s
        Work lost by them, by queue and cause, in core-seconds.
    takeover_s
        Time from a claim of ownership to the first decision of the owner, in seconds.
    planning_age_s
        Time since the newest planning round, or the claim before the first one, in seconds; 0 on an
        entry that is not the owner.
    jobs_age_s
        Upper limit of the time by which the jobs read lag behind the store, in seconds.
    evacuated_domains
        Number of evacuated failure domains.
    open_connections, requests_read, read_bytes
        Connections of clients, requests being read and their size, by listener.
    closed_connections
        Connections of clients closed for a limit or a budget, by listener and reason.
    slow_vms
        Number of VMs that the owner counts as slower than others; 0 on other entries.
    """

    def __init__(self) -> None:
        super().__init__()
        self.events = self.counter("briardeal_events_total", "Events by name and outcome.")
        self.jobs = self.counter(
            "briardeal_queue_jobs_total", "Jobs by queue and what became of them."
        )
        self.admissions = self.counter(
            "briardeal_admissions_total",
            "Decisions on jobs handed in, by queue and outcome.",
        )
        self.preempted_tasks = self.counter(
            "briardeal_preempted_tasks_total",
            "Tasks stopped for other work, by queue and whether for the first time.",
        )
        self.preempted_core_s = self.counter(
            "briardeal_preempted_core_seconds_total",
            "Work lost by tasks stopped for other work, by queue.",
        )
        self.unfinished_attempts = self.counter(
            "briardeal_unfinished_attempts_total",
            "Attempts that ended without a result, by queue, outcome and whether within 3 s.",
        )
        self.lost_core_s = self.counter(
            "briardeal_lost_core_seconds_total",
            "Work lost by attempts that ended without a result, by queue and outcome.",
        )
        self.lost_by_cause_core_s = self.counter(
            "briardeal_lost_by_cause_core_seconds_total",
            "Work lost by attempts that ended without a result, by queue and cause.",
        )
        self.acceptance_s = self.histogram(
            "briardeal_acceptance_seconds",
            "Time to accept or refuse a job.",
            CALL_BOUNDS_S,
        )
        self.first_start_s = self.histogram(
            "briardeal_first_start_seconds",
            "Time from the acceptance of a job to its first start.",
            START_BOUNDS_S,
        )
        self.end_shown_s = self.histogram(
            "briardeal_end_shown_seconds",
            "Time from the last end of a job to its final state being kept and shown.",
            CALL_BOUNDS_S,
        )
        self.store_call_s = self.histogram(
            "briardeal_store_call_seconds",
            "Time of calls to the store by outcome.",
            CALL_BOUNDS_S,
        )
        self.takeover_s = self.histogram(
            "briardeal_takeover_seconds",
            "Time from a claim to the first decision.",
            START_BOUNDS_S,
        )
        self.planning_age_s = self.gauge(
            "briardeal_planning_age_seconds",
            "Time since the owner completed a planning round; 0 on other entries.",
        )
        self.jobs_age_s = self.gauge(
            "briardeal_jobs_age_seconds",
            "Upper limit of the time by which the jobs read lag behind the store.",
        )
        self.evacuated_domains = self.gauge(
            "briardeal_evacuated_domains", "Failure domains in which no task may start."
        )
        self.open_connections = self.gauge(
            "briardeal_open_connections", "Connections of clients by listener."
        )
        self.requests_read = self.gauge(
            "briardeal_requests_being_read", "Requests being read by listener."
        )
        self.read_bytes = self.gauge(
            "briardeal_read_bytes", "Size of the requests being read by listener."
        )
        self.closed_connections = self.counter(
            "briardeal_closed_connections_total",
            "Connections of clients closed for a limit or a budget, by listener and reason.",
        )
        self.slow_vms = self.gauge(
            "briardeal_slow_vms",
            "VMs that run the same tasks more slowly than others; 0 on entries that don't plan.",
        )

    def count_event(self, event: Event, fields: dict[str, Any]) -> None:
        """Count an event by its name and outcome."""
        name = next((each for each in OUTCOME_FIELDS if each in fields), None)
        outcome = str(fields[name]) if name is not None else ""
        if outcome.startswith(PREEMPTION_PREFIX):
            outcome = PREEMPTION_PREFIX
        self.events.inc({"event": event.name.lower(), "outcome": outcome})
        if "queue" in fields:
            self._count_by_queue(event, fields)

    def _count_by_queue(self, event: Event, fields: dict[str, Any]) -> None:
        queue = fields["queue"]
        if event is Event.JOB_ACCEPTED and not fields["known"]:
            self.jobs.inc({"queue": queue, "outcome": "accepted"})
        elif event is Event.JOB_REFUSED:
            self.jobs.inc({"queue": queue, "outcome": fields["reason"]})
        elif event is Event.REQUEST_REFUSED:
            self.jobs.inc({"queue": queue, "outcome": str(fields["status"])})
        elif event is Event.JOB_ENDED:
            in_time = fields["took_s"] <= fields["objective_s"]
            outcome = fields["state"] if in_time else f"{fields['state']} late"
            self.jobs.inc({"queue": queue, "outcome": outcome})
        elif event is Event.TASK_STOPPED:
            repeated = "yes" if fields["earlier_preemptions"] else "no"
            self.preempted_tasks.inc({"queue": queue, "repeated": repeated})
            self.preempted_core_s.add({"queue": queue}, fields["lost_core_s"])
        elif event is Event.ATTEMPT_ENDED:
            labels = {"queue": queue, "outcome": str(fields["outcome"])}
            early = "yes" if fields["ran_s"] < EARLY_END_S else "no"
            self.unfinished_attempts.inc({**labels, "early": early})
            self.lost_core_s.add(labels, fields["lost_core_s"])
            if "loss_cause" in fields:
                by_cause = {"queue": queue, "cause": str(fields["loss_cause"])}
                self.lost_by_cause_core_s.add(by_cause, fields["lost_core_s"])
