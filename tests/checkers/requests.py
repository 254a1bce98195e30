"""Checks results of requests against the runs at the endpoints, without the code under test."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_standins.endpoint import MemoryEndpoint
    from briardeal_standins.site import Call, Site

DEADLINE_SLACK_S = 0.1
LEAVING_LIMIT_S = 3.0


def find_violations(site: Site) -> list[str]:
    """Return one line for each violated guarantee."""
    endpoints = list(site.vms.values())
    runs = Counter(run.body for endpoint in endpoints for run in endpoint.runs)
    by_body = defaultdict(list)
    for call in site.calls:
        by_body[call.body].append(call)
    violations = []
    for body, calls in by_body.items():
        violations += [line for call in calls for line in _check_call(call)]
        violations += _check_runs(body, calls, runs[body])
    for endpoint in endpoints:
        violations += _check_endpoint(endpoint)
    return violations


def _check_call(call: Call) -> list[str]:
    violations = []
    if call.entry_halted:
        pass
    elif not call.outcome:
        violations.append(f"{call.body!r} never got a result")
    elif call.ended_s > call.deadline_s + DEADLINE_SLACK_S:
        violations.append(
            f"{call.body!r} got its result {call.ended_s - call.deadline_s:.2f} s late"
        )
    if call.outcome == "answer" and call.answer != call.body:
        violations.append(f"{call.body!r} got the answer to {call.answer!r}")
    return violations


def _check_runs(body: bytes, calls: list[Call], runs: int) -> list[str]:
    outcomes = {call.outcome for call in calls}
    violations = []
    if runs > 1 and not calls[0].idempotent:
        violations.append(f"double run: {body!r} ran {runs} times")
    if runs and outcomes == {"not_run"}:
        violations.append(f"wrong not_run: {body!r} ran {runs} times")
    if not runs and outcomes & {"answer", "ran"}:
        violations.append(f"{body!r} was reported to have run, but did not")
    return violations


def _check_endpoint(endpoint: MemoryEndpoint) -> list[str]:
    left_s = endpoint.leaving_since_s
    violations = []
    if endpoint.max_concurrent > endpoint.slots:
        violations.append(f"over-admission: {endpoint.name} ran {endpoint.max_concurrent} at once")
    if left_s is not None and max(endpoint.dispatched_s, default=0.0) > left_s + LEAVING_LIMIT_S:
        violations.append(
            f"late dispatch: {endpoint.name} got a request after it reported that it is leaving"
        )
    return violations
