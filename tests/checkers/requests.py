"""Checks a history of requests against what the endpoints saw, apart from the code it checks."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_standins.endpoint import MemoryEndpoint
    from briardeal_standins.site import Call, Site

DEADLINE_SLACK_S = 0.1
LEAVING_LIMIT_S = 3.0


def find_violations(site: Site) -> list[str]:
    """Return a line for each promise that was broken so far."""
    endpoints = list(site.vms.values())
    runs = Counter(run.body for endpoint in endpoints for run in endpoint.runs)
    by_body = defaultdict(list)
    for call in site.calls:
        by_body[call.body].append(call)
    found = []
    for body, same in by_body.items():
        found += [line for call in same for line in _check_call(call)]
        found += _check_runs(body, same, runs[body])
    for endpoint in endpoints:
        found += _check_endpoint(endpoint)
    return found


def _check_call(call: Call) -> list[str]:
    found = []
    if call.entry_halted:
        pass
    elif not call.told:
        found.append(f"{call.body!r} was never told anything")
    elif call.ended_s > call.deadline_s + DEADLINE_SLACK_S:
        found.append(f"{call.body!r} was told {call.ended_s - call.deadline_s:.2f} s late")
    if call.told == "answer" and call.answer != call.body:
        found.append(f"{call.body!r} got the answer to {call.answer!r}")
    return found


def _check_runs(body: bytes, same: list[Call], runs: int) -> list[str]:
    told = {call.told for call in same}
    found = []
    if runs > 1 and not same[0].idempotent:
        found.append(f"double run: {body!r} ran {runs} times")
    if runs and told == {"not_run"}:
        found.append(f"wrong not_run: {body!r} ran {runs} times")
    if not runs and told & {"answer", "ran"}:
        found.append(f"{body!r} was told to have run, and did not")
    return found


def _check_endpoint(endpoint: MemoryEndpoint) -> list[str]:
    left_s = endpoint.left_s
    found = []
    if endpoint.most_at_once > endpoint.slots:
        found.append(f"over-admission: {endpoint.name} ran {endpoint.most_at_once} at once")
    if left_s is not None and max(endpoint.dispatched_s, default=0.0) > left_s + LEAVING_LIMIT_S:
        found.append(f"late dispatch: {endpoint.name} got work after it said that it leaves")
    return found
