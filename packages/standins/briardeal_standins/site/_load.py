"""Load generator that sends requests at random times."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_standins.site._calls import Call
    from briardeal_standins.site._site import Site


async def send_load(
    site: Site,
    *,
    duration_s: float,
    requests_per_s: float,
    keyed_share: float = 0.0,
    timeout_s: float = 5.0,
) -> None:
    """Send requests at random times through random entries and wait for their outcomes.

    Parameters
    ----------
    site
        Site under test.
    duration_s
        Duration of the load, in seconds.
    requests_per_s
        Mean number of requests per second.
    keyed_share
        Share of requests with a key, which are not idempotent; a quarter of them is sent twice.
    timeout_s
        Deadline of each request, in seconds.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    calls_in_progress: list[asyncio.Task[Call]] = []
    while loop.time() < end_s:
        await asyncio.sleep(site.rng.expovariate(requests_per_s))
        ready = [name for name, entry in site.running.items() if entry.ready]
        if not ready:
            continue
        name = site.rng.choice(ready)
        body = f"{site.seed}-{len(site.calls)}".encode()
        key = site.issue_key(name) if site.rng.random() < keyed_share else ""
        copies = 2 if key and site.rng.random() < 0.25 else 1
        for _ in range(copies):
            coroutine = site.send(name, body, timeout_s=timeout_s, key=key)
            calls_in_progress.append(asyncio.create_task(coroutine))
            site.call_tasks.setdefault(name, []).append(calls_in_progress[-1])
    if calls_in_progress:
        await asyncio.wait(calls_in_progress)
    errors = [
        task.exception() for task in calls_in_progress if not task.cancelled() and task.exception()
    ]
    if errors:
        raise errors[0]
