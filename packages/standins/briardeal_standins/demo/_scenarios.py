"""Scenarios of the demo and their expected outcomes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_standins.demo._site import HttpReply, Site

WAIT_LIMIT_S = 20.0
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


async def run_scenarios(site: Site) -> bool:
    """Run all scenarios and return whether all outcomes were as expected."""
    site.start_log_and_entries()
    await site.wait_ready()
    for number in (1, 2):
        site.start_endpoint(f"sampler-{number}", "sampling")
        site.start_endpoint(f"desk-{number}", "charter")
        site.start_worker(f"worker-{number}", 8)
    scenarios = (
        _publish_configuration,
        _send_request,
        _book_twice,
        _run_gang,
        _submit_impossible_job,
        _kill_agent,
        _shut_down_entry,
    )
    return all([await scenario(site) for scenario in scenarios])


async def _publish_configuration(site: Site) -> bool:
    path = "/v1/configuration?expected_version=0"

    async def publish() -> HttpReply:
        return await site.call("PUT", "entry-1", path, CONFIGURATION, Briardeal_Author="ana")

    reply = await _call_until(publish, lambda reply: reply.status == 200)
    return _report(reply.status == 200, f"Classes and guarantees were accepted: {reply.content}.")


async def _send_request(site: Site) -> bool:
    async def send() -> HttpReply:
        return await site.call("POST", "entry-1", SAMPLING, "population 7")

    reply = await _call_until(send, lambda reply: reply.status == 200)
    as_expected = reply.status == 200 and reply.content["echo"] == "population 7"
    return _report(as_expected, f"A sampling draw was answered by {reply.content.get('endpoint')}.")


async def _book_twice(site: Site) -> bool:
    key = (await site.call("POST", "entry-1", "/v1/keys")).content["key"]

    async def book(entry: str) -> HttpReply:
        headers = {"Briardeal_Idempotent": "false", "Idempotency_Key": key}
        return await site.call("POST", entry, CHARTER, "boat 3, Sunday", **headers)

    first = await _call_until(lambda: book("entry-1"), lambda reply: reply.status == 200)
    again = await _call_until(lambda: book("entry-2"), lambda reply: reply.status == 200)
    executions = await site.count_executions(key)
    as_expected = executions == 1 and first.content == again.content
    return _report(
        as_expected, f"A booking sent twice, through two entries, ran {executions} time."
    )


async def _run_gang(site: Site) -> bool:
    submitted = await site.call("POST", "entry-2", "/v1/jobs", GANG)
    path = f"/v1/jobs/{submitted.content['job_id']}"

    async def get_job() -> HttpReply:
        return await site.call("GET", "entry-1", path)

    reply = await _call_until(get_job, lambda reply: reply.content.get("state") == "finished")
    as_expected = reply.content["state"] == "finished" and len(set(reply.content["workers"])) == 2
    return _report(
        as_expected, f"A gang of two tasks is {reply.content['state']}. {reply.content['why']}"
    )


async def _submit_impossible_job(site: Site) -> bool:
    submitted = await site.call("POST", "entry-1", "/v1/jobs", IMPOSSIBLE)
    path = f"/v1/jobs/{submitted.content['job_id']}"

    async def get_job() -> HttpReply:
        return await site.call("GET", "entry-2", path)

    reply = await _call_until(get_job, lambda reply: reply.content.get("state") == "refused")
    as_expected = reply.content.get("state") == "refused"
    explained = await site.call("GET", "entry-2", f"{path}/explanation")
    why = " ".join(explained.content["sentences"])
    return _report(as_expected, f"A job that can never run is {reply.content.get('state')}. {why}")


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
    as_expected = answered == REQUESTS_AROUND_KILL
    return _report(
        as_expected, f"With an agent killed, {answered} of {len(replies)} draws were answered."
    )


async def _shut_down_entry(site: Site) -> bool:
    sending = asyncio.create_task(site.call("POST", "entry-2", SAMPLING, "last draw"))
    await asyncio.sleep(0.02)
    code = await asyncio.to_thread(site.processes.stop, "entry-2")
    reply = await sending
    as_expected = code == 0 and reply.status == 200
    return _report(
        as_expected, f"An entry that shut down finished its pending request: status {reply.status}."
    )


async def _call_until(
    call: Callable[[], Awaitable[Any]], is_expected: Callable[[Any], bool]
) -> Any:
    """Call until the outcome is as expected or time runs out; return the last outcome."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + WAIT_LIMIT_S
    while not is_expected(outcome := await call()) and loop.time() < deadline_s:
        await asyncio.sleep(POLL_S)
    return outcome


def _report(as_expected: bool, text: str) -> bool:
    click.echo(f"{'right' if as_expected else 'WRONG'}: {text}")
    return as_expected
