"""What the demo does and what it expects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_standins.demo._site import HttpReply, Site

WAIT_S = 20.0
POLL_S = 0.2
REQUESTS_AROUND_KILL = 20
SAMPLING = "/v1/services/sampling/requests"
CHARTER = "/v1/services/charter/requests"

CONFIGURATION = """
classes:
  - {name: fieldwork sampling, finish_within_s: 600}
  - {name: nightly tally, finish_within_s: 3600}
customers:
  - name: audit
    guarantees:
      - {job_class: fieldwork sampling, vms: 2, accelerators_per_vm: 4}
  - name: charter
"""

GANG = {
    "customer": "audit",
    "job_class": "fieldwork sampling",
    "tasks": 2,
    "accelerators_per_task": 4,
    "command": "2",
}
IMPOSSIBLE = {**GANG, "accelerators_per_task": 16}


async def tell_story(site: Site) -> bool:
    """Run every scene and return whether all outcomes were right."""
    site.start_control()
    await site.wait_ready()
    for number in (1, 2):
        site.start_endpoint(f"sampler-{number}", "sampling")
        site.start_endpoint(f"desk-{number}", "charter")
        site.start_worker(f"worker-{number}", 8)
    scenes = (_publish, _request, _book, _run_gang, _refuse_impossible, _kill_agent, _shut_down)
    return all([await scene(site) for scene in scenes])


async def _publish(site: Site) -> bool:
    path = "/v1/configuration?expected_version=0"

    async def publish() -> HttpReply:
        return await site.call("PUT", "entry-1", path, CONFIGURATION, Briardeal_Author="ana")

    reply = await _until(publish, lambda reply: reply.status == 200)
    return _say(reply.status == 200, f"Classes and guarantees were accepted: {reply.content}.")


async def _request(site: Site) -> bool:
    async def send() -> HttpReply:
        return await site.call("POST", "entry-1", SAMPLING, "population 7")

    reply = await _until(send, lambda reply: reply.status == 200)
    right = reply.status == 200 and reply.content["echo"] == "population 7"
    return _say(right, f"A sampling draw was answered by {reply.content.get('endpoint')}.")


async def _book(site: Site) -> bool:
    key = (await site.call("POST", "entry-1", "/v1/keys")).content["key"]

    async def book(entry: str) -> HttpReply:
        headers = {"Briardeal_Idempotent": "false", "Idempotency_Key": key}
        return await site.call("POST", entry, CHARTER, "boat 3, Sunday", **headers)

    first = await _until(lambda: book("entry-1"), lambda reply: reply.status == 200)
    again = await _until(lambda: book("entry-2"), lambda reply: reply.status == 200)
    executions = await site.executions(key)
    right = executions == 1 and first.content == again.content
    return _say(right, f"A booking sent twice, through two entries, ran {executions} time.")


async def _run_gang(site: Site) -> bool:
    submitted = await site.call("POST", "entry-2", "/v1/jobs", GANG)
    path = f"/v1/jobs/{submitted.content['job_id']}"

    async def look() -> HttpReply:
        return await site.call("GET", "entry-1", path)

    reply = await _until(look, lambda reply: reply.content.get("state") == "finished")
    right = reply.content["state"] == "finished" and len(set(reply.content["workers"])) == 2
    return _say(right, f"A gang of two tasks is {reply.content['state']}. {reply.content['why']}")


async def _refuse_impossible(site: Site) -> bool:
    submitted = await site.call("POST", "entry-1", "/v1/jobs", IMPOSSIBLE)
    path = f"/v1/jobs/{submitted.content['job_id']}"

    async def look() -> HttpReply:
        return await site.call("GET", "entry-2", path)

    reply = await _until(look, lambda reply: reply.content.get("state") == "refused")
    right = reply.content.get("state") == "refused"
    explained = await site.call("GET", "entry-2", f"{path}/explanation")
    why = " ".join(explained.content["sentences"])
    return _say(right, f"A job that can never run is {reply.content.get('state')}. {why}")


async def _kill_agent(site: Site) -> bool:
    site.processes.kill("agent-sampler-1")
    replies = [
        await site.call("POST", f"entry-{1 + number % 2}", SAMPLING, f"draw {number}")
        for number in range(REQUESTS_AROUND_KILL)
    ]
    answered = sum(
        reply.status == 200 and reply.content["echo"] == f"draw {number}"
        for number, reply in enumerate(replies)
    )
    right = answered == REQUESTS_AROUND_KILL
    return _say(right, f"With an agent killed, {answered} of {len(replies)} draws were answered.")


async def _shut_down(site: Site) -> bool:
    sending = asyncio.create_task(site.call("POST", "entry-2", SAMPLING, "last draw"))
    await asyncio.sleep(0.02)
    code = await asyncio.to_thread(site.processes.stop, "entry-2")
    reply = await sending
    right = code == 0 and reply.status == 200
    return _say(right, f"An entry that shut down finished what it held: status {reply.status}.")


async def _until(call: Callable[[], Awaitable[Any]], right: Callable[[Any], bool]) -> Any:
    """Call until the outcome is right or the time is over; return the last outcome."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + WAIT_S
    while not right(outcome := await call()) and loop.time() < deadline_s:
        await asyncio.sleep(POLL_S)
    return outcome


def _say(right: bool, text: str) -> bool:
    click.echo(f"{'right' if right else 'WRONG'}: {text}")
    return right
