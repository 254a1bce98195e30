"""One start order stays unanswered while the ownership is handed over by a planned restart."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, job_id, run_case  # noqa: E402

OTHER_JOBS = 24
FINISH_S = 14.0
CONTACT_S = 3.0


async def play(site):
    await site.start(entries=2, runners=2)
    restarts = []
    held_back = asyncio.Event()
    task_name = job_id(1000) + ".0.0.0"

    def before_start(document):
        if TROUBLE and document["task"] == task_name and not held_back.is_set():
            held_back.set()
            restarts.append(asyncio.create_task(site.entries[0].restart_gracefully()))
            return "late"
        return ""

    site.runners[0].before_start = before_start
    for number in range(OTHER_JOBS):
        if not await site.submit(job_id(number), 0.5):
            return NOT_RUN
    if not await site.wait_until(
        lambda: sum(run.how == "done" for run in site.history) >= OTHER_JOBS, 30.0
    ):
        site.record.write("the other jobs have not run")
        return NOT_RUN
    if not await site.submit(job_id(1000), 2.0, nodeSelector="r1"):
        return NOT_RUN
    await asyncio.sleep(1.0)
    if TROUBLE and not held_back.is_set():
        return NOT_RUN
    await asyncio.gather(*restarts)
    late = sum(runner.late_orders for runner in site.runners)
    orders = sum(runner.orders for runner in site.runners)
    site.record.write(f"{late} of {orders} orders were left unanswered")
    if TROUBLE and late / orders > 0.055:
        return NOT_RUN
    site.record.write("the disruptions are over")
    for _ in range(int(CONTACT_S + FINISH_S)):
        if await site.state_of(job_id(1000)) == "completed":
            return HELD
        await asyncio.sleep(1.0)
    # The job is asked for once more; nothing of it may be missing for 3 s with most room free.
    for _ in range(30):
        await asyncio.sleep(0.1)
        if any(run.ended_s is None for run in site.history):
            site.record.write("a task runs")
            return HELD if await site.state_of(job_id(1000)) == "completed" else NOT_RUN
    state = await site.state_of(job_id(1000))
    site.record.write(f"the job is {state}, and for 3 s nothing ran on any runner")
    return HELD if state == "completed" else BROKEN


run_case(FOLDER, play)
