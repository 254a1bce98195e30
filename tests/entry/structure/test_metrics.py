"""Metrics of an entry report the counters of its services."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.configuration import Configuration
from briardeal_core.jobs import JobRequest
from briardeal_standins.deployment import Deployment

pytestmark = pytest.mark.looptime


async def test_metrics_report_log_configuration_and_jobs():
    async with Deployment({"a": "koper", "b": "maribor"}, retention_s=400) as deployment:
        await deployment.add_worker("w", "koper")
        entry = deployment.running["a"]
        deployment.logs["a"].faults.lost_acknowledgements = 1
        accepted = await entry.configuration.apply(Configuration(), 0, "ann")
        deployment.store.append("jobs", b"damaged", "x")
        job = JobRequest(
            job_id="", customer="c", job_class="none", tasks=1, accelerators_per_task=1
        )
        await entry.jobs.submit(job)
        await asyncio.sleep(300)
        deployment.set_log_outage("a")
        await asyncio.sleep(60)
        lines = entry.render_metrics().decode().splitlines()
    shown = dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    values = {name: float(value) for name, value in shown.items()}
    assert values["briardeal_configuration_version"] == accepted.version
    assert values["briardeal_configuration_age_seconds"] == pytest.approx(360, abs=10)
    assert values["briardeal_agents_alive"] == 1
    assert values['briardeal_jobs{state="refused"}'] == 1
    assert values['briardeal_log_records_total{outcome="broken",stream="jobs"}'] == 1
    assert values['briardeal_log_uncertain_appends_total{stream="configuration"}'] == 1
    assert values['briardeal_log_unread_seconds{stream="jobs"}'] >= 55
    written = [name for name in values if name.startswith("briardeal_snapshots_written_total")]
    assert len(written) == 2
    assert values['briardeal_peer_bytes_total{direction="sent",region="maribor"}'] > 0
