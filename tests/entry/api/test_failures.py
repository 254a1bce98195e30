"""Every response that is not a success has a reason, a message and a run state."""

from __future__ import annotations

import pytest

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "reason"),
    [
        ("GET", "/v1/nothing", {}, 404, "request_invalid"),
        ("PATCH", "/v1/jobs", {}, 405, "request_invalid"),
        ("POST", "/v1/jobs", {}, 400, "request_invalid"),
        ("DELETE", "/v1/jobs/none", {}, 404, "job_unknown"),
        ("GET", "/v1/configuration/diff?old=1&new=x", {}, 400, "request_invalid"),
        ("POST", "/v1/services/s/requests", {"Briardeal-Timeout-S": "x"}, 400, "request_invalid"),
        ("POST", "/v1/services/s/requests", {"Briardeal-Idempotent": "false"}, 400, "key_required"),
    ],
)
async def test_failed_request_is_refused_with_a_reason(
    client, entry, method, path, headers, status, reason
):
    response = await client.request(method, path, headers=headers)
    refusal = await response.json()
    assert (response.status, refusal["reason"]) == (status, reason)
    assert refusal["run_state"] == "not_run"
    assert refusal["message"]
    assert entry.metrics.refusals.get({"reason": reason}) == 1


async def test_unhandled_exception_is_refused_with_an_unknown_run_state(client, entry):
    entry.request_handler.accepting = True
    entry.request_handler.router = None
    response = await client.post("/v1/services/s/requests", data=b"x")
    refusal = await response.json()
    assert (response.status, refusal["reason"]) == (500, "internal_error")
    assert refusal["run_state"] == "unknown"


@pytest.mark.parametrize(
    "invalid_field", [{"tasks": 0}, {"accelerators_per_task": -1}, {"declared_run_s": 0}]
)
async def test_job_with_invalid_shape_is_refused_and_not_stored(client, entry, invalid_field):
    job = {
        "customer": "a",
        "job_class": "c",
        "tasks": 1,
        "accelerators_per_task": 1,
        **invalid_field,
    }
    response = await client.post("/v1/jobs", json=job)
    assert (response.status, (await response.json())["reason"]) == (400, "request_invalid")
    assert entry.job_table.jobs == {}
