"""Jobs are submitted, looked up through any entry, explained and cancelled over HTTP."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from briardeal.api._jobs import JobRoutes
from briardeal_core.metrics import Metrics
from tests.entry.jobs.cluster import Cluster

pytestmark = pytest.mark.looptime(noop_cycles=2)

JOB = {"customer": "a", "job_class": "c", "tasks": 1, "accelerators_per_task": 1, "command": "99"}


def client(entry):
    app = web.Application()
    routes = JobRoutes(
        SimpleNamespace(metrics=Metrics(), jobs=entry.jobs, job_table=entry.jobs.job_table)
    )
    app.add_routes(routes.definitions())
    return TestClient(TestServer(app))


async def test_job_is_submitted_looked_up_and_cancelled_through_different_entries():
    async with Cluster() as cluster:
        await cluster.wait_owner()
        one, other = map(client, cluster.entries)
        async with one, other:
            headers = {"Idempotency-Key": "k"}
            answers = [await c.post("/v1/jobs", json=JOB, headers=headers) for c in (one, other)]
            assert [answer.status for answer in answers] == [201, 201]
            path = f"/v1/jobs/{(await answers[0].json())['job_id']}"
            assert (await answers[1].json())["job_id"] in path
            await asyncio.sleep(2)
            assert (await (await other.get(path)).json())["state"] == "running"
            assert len((await (await one.get(f"{path}/explanation")).json())["sentences"]) >= 2
            assert (await other.delete(path)).status == 202
            await asyncio.sleep(5)
            assert (await (await one.get(path)).json())["state"] == "cancelled"
            assert (await one.get("/v1/jobs/none/explanation")).status == 404
