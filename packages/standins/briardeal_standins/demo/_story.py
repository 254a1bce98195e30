"""What the demo does and what it expects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    import aiohttp

    from briardeal_standins.demo._site import Site

WAIT_S = 20.0
POLL_S = 0.2


async def tell_story(site: Site, session: aiohttp.ClientSession) -> bool:
    """Run every scene and return whether all outcomes were right."""
    site.start_control()
    await site.wait_ready(session)
    for number in (1, 2):
        site.start_endpoint(f"sampler-{number}", "sampling")
        site.start_worker(f"worker-{number}", 8)
    return all([await _send_request(site, session), await _run_job(site, session)])


async def _send_request(site: Site, session: aiohttp.ClientSession) -> bool:
    url = f"http://{site.entry}/v1/services/sampling/requests"
    async with asyncio.timeout(WAIT_S):
        while True:
            async with session.post(url, data=b"population 7") as response:
                answer = await response.json()
            if response.status == 200:
                return _say(answer["echo"] == "population 7", f"A request was answered: {answer}")
            await asyncio.sleep(POLL_S)


async def _run_job(site: Site, session: aiohttp.ClientSession) -> bool:
    job = {"customer": "audit", "job_class": "sampling", "tasks": 1, "accelerators_per_task": 4}
    async with session.post(f"http://{site.entry}/v1/jobs", json=job) as response:
        job_id = (await response.json())["job_id"]
    async with asyncio.timeout(WAIT_S):
        while (view := await _get(site, session, f"/v1/jobs/{job_id}"))["state"] != "finished":
            await asyncio.sleep(POLL_S)
    return _say(view["state"] == "finished", f"A job came to its end: {view['why']}")


async def _get(site: Site, session: aiohttp.ClientSession, path: str) -> Any:
    async with session.get(f"http://{site.entry}{path}") as response:
        return await response.json()


def _say(right: bool, text: str) -> bool:
    click.echo(f"{'right' if right else 'WRONG'}: {text}")
    return right
