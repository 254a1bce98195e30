"""A load of requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_standins.site._calls import Call
    from briardeal_standins.site._site import Site


async def send_load(
    site: Site,
    *,
    seconds: float,
    per_second: float,
    keyed_share: float = 0.0,
    timeout_s: float = 5.0,
) -> None:
    """Send requests at random moments through random entries and wait for what they are told.

    Parameters
    ----------
    site
        The system under test.
    seconds
        How long to send.
    per_second
        Mean rate.
    keyed_share
        Share of requests that are not idempotent; a quarter of them is sent twice.
    timeout_s
        Deadline of each request, in seconds.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    sending: list[asyncio.Task[Call]] = []
    while loop.time() < until_s:
        await asyncio.sleep(site.rng.expovariate(per_second))
        ready = [name for name, entry in site.running.items() if entry.ready]
        if not ready:
            continue
        name = site.rng.choice(ready)
        body = f"{site.seed}-{len(site.calls)}".encode()
        key = site.issue_key(name) if site.rng.random() < keyed_share else ""
        copies = 2 if key and site.rng.random() < 0.25 else 1
        for _ in range(copies):
            call = site.send(name, body, timeout_s=timeout_s, key=key)
            sending.append(asyncio.create_task(call))
            site.tasks.setdefault(name, []).append(sending[-1])
    if sending:
        await asyncio.wait(sending)
    broken = [task.exception() for task in sending if not task.cancelled() and task.exception()]
    if broken:
        raise broken[0]
