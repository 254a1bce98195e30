"""Checks a history of requests against what the endpoints saw, apart from the code it checks."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_standins.endpoint import MemoryEndpoint

DEADLINE_SLACK_S = 0.1
LEAVING_LIMIT_S = 3.0


@attrs.define(eq=False)
class Call:
    """One call of a caller and what it was told.

    Parameters
    ----------
    body
        Content; calls with the same content repeat the same request.
    idempotent
        Whether the request may run more than once.
    deadline_s
        When the caller gives up, on the loop's clock.
    told
        `answer`, or the run state of the refusal; empty while there is none.
    answer
        Content of the answer.
    reason
        Code of the reason for a refusal.
    ended_s
        When the caller was told, on the loop's clock.
    entry_halted
        Whether the entry was killed or paused meanwhile, so that it could tell nothing in time.
    """

    body: bytes
    idempotent: bool
    deadline_s: float
    told: str = ""
    answer: bytes = b""
    reason: str = ""
    ended_s: float = 0.0
    entry_halted: bool = False


def find_violations(
    calls: Iterable[Call], endpoints: Iterable[MemoryEndpoint], left_s: dict[str, float]
) -> list[str]:
    """Return a line for each promise that was broken.

    Parameters
    ----------
    calls
        All calls.
    endpoints
        All endpoints, with their runs.
    left_s
        When each endpoint that is leaving said so, on the loop's clock.
    """
    endpoints = list(endpoints)
    runs = Counter(run.body for endpoint in endpoints for run in endpoint.runs)
    by_body = defaultdict(list)
    for call in calls:
        by_body[call.body].append(call)
    found = []
    for body, same in by_body.items():
        found += [line for call in same for line in _check_call(call)]
        found += _check_runs(body, same, runs[body])
    for endpoint in endpoints:
        found += _check_endpoint(endpoint, left_s.get(endpoint.name))
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


def _check_endpoint(endpoint: MemoryEndpoint, left_s: float | None) -> list[str]:
    found = []
    if endpoint.most_at_once > endpoint.slots:
        found.append(f"over-admission: {endpoint.name} ran {endpoint.most_at_once} at once")
    if left_s is not None and max(endpoint.dispatched_s, default=0.0) > left_s + LEAVING_LIMIT_S:
        found.append(f"late dispatch: {endpoint.name} got work after it said that it leaves")
    return found
