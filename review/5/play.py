"""A heartbeat of another writer, for a service that no page names, reaches the agents."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, call, job_id, run_case  # noqa: E402

RUNNERS = 3
FINISH_S = 14.0
CONTACT_S = 3.0


async def play(site):
    await site.start(entries=2, runners=RUNNERS)
    await asyncio.sleep(5.0)
    if not await site.submit(job_id(1), 1.0):
        return NOT_RUN
    if not await site.wait_until(lambda: any(run.how == "done" for run in site.history), 10.0):
        return NOT_RUN
    if TROUBLE:
        for runner in site.runners:
            beat = {**runner.state(), "service": "no-such-service", "address": site.ip(9) + ":9"}
            beat.update(sequence=1, born=int(time.time() * 1000))
            path = "/api/Instances.Heartbeat/i-of-another-writer"
            answer = await call(runner.agent_address, "POST", path, beat)
            site.record.write(f"another writer: heartbeat at {runner.agent_address} -> {answer}")
    await asyncio.sleep(10.0)
    if not await site.submit(job_id(2), 1.0):
        return NOT_RUN
    for _ in range(int(CONTACT_S + FINISH_S)):
        await asyncio.sleep(1.0)
        if await site.state_of(job_id(2)) == "completed":
            return HELD
    for _ in range(30):
        await asyncio.sleep(0.1)
        if any(run.ended_s is None for run in site.history):
            return NOT_RUN
    state = await site.state_of(job_id(2))
    site.record.write(f"the job is {state}, and for 3 s nothing ran on any of the sound runners")
    return HELD if state == "completed" else BROKEN


run_case(FOLDER, play)
