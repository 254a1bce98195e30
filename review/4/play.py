"""A route is removed and added again by the operator, and the owner is restarted in between."""

import asyncio
import copy
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, job_id, run_case  # noqa: E402


async def play(site):
    route = copy.deepcopy(site.configuration["routes"][0])
    route.update(name="queue-b", pathPrefix="/b/", maxAttempts=3)
    site.configuration["routes"].append(route)
    await site.start(entries=2, runners=2)
    await asyncio.sleep(4.0)
    # The first run of the task fails, by its own fault, after 12 s; the second one completes it.
    if not await site.submit(job_id(1), 24.0, prefix="/b/", fails=(1,)):
        return NOT_RUN
    if not await site.wait_until(lambda: bool(site.history), 10.0):
        return NOT_RUN
    if TROUBLE:
        without = copy.deepcopy(site.configuration)
        without.update(version=13, routes=site.configuration["routes"][:1])
        await site.store.publish(without)
        site.record.write("operator: version 13, without the route of the job")
        await asyncio.sleep(3.0)
        await site.entries[0].restart_gracefully()
    await site.wait_until(lambda: any(run.ended_s is not None for run in site.history), 30.0)
    await asyncio.sleep(3.0)
    if TROUBLE:
        await site.store.publish({**site.configuration, "version": 17})
        site.record.write("operator: version 17, with the route of the job again")
    await asyncio.sleep(3.0)
    for _ in range(45):
        state = await site.state_of(job_id(1), prefix="/b/")
        if state in ("completed", "failed"):
            break
        await asyncio.sleep(1.0)
    failed = sum(run.how == "failed" for run in site.runs_of(job_id(1)))
    site.record.write(f"the job is shown as {state}; {failed} of its runs ended `failed`, of 3")
    if state == "completed":
        return HELD
    return BROKEN if state == "failed" and failed < 3 else NOT_RUN


run_case(FOLDER, play)
