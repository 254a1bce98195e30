"""An owner forgets to store an agent again after a lost answer; a later hand-over misses it."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, NOT_RUN, RESTART_S, TROUBLE, job_id, run_case  # noqa: E402

RUNNERS = 8
CRASH_S = 1.8
LOSS_S = 4.5
CALM_S = 6.0
WORK_S = 25.0
LOSE_ANSWERS = os.environ.get("LOSE_ANSWERS", "1") != "0"


async def play(site):
    await site.start(entries=2, runners=RUNNERS)
    await asyncio.sleep(5.0)
    first = site.runners[0]
    if TROUBLE:
        lost, writes = [], site.store.writes

        def lose_answer(topic, keys, query):
            # One write under a condition in the interval.
            if LOSE_ANSWERS and "at" in query and not lost:
                lost.append(query)
                site.record.write(f"store: carries out a write of {keys} and does not answer")
                return True
            return False

        site.store.lose_answer = lose_answer
        site.record.write("answers of the store may be lost")
        first.crash()
        await asyncio.sleep(CRASH_S)
        await first.start()
        await asyncio.sleep(LOSS_S - CRASH_S)
        site.store.lose_answer = lambda topic, keys, query: False
        writes = site.store.writes - writes
        site.record.write(f"no more answers are lost; {len(lost)} of {writes} were")
        if len(lost) > 0.35 * writes:
            return NOT_RUN
    await asyncio.sleep(CALM_S)
    if not await site.submit(job_id(1), WORK_S):
        return NOT_RUN
    if not await site.wait_until(lambda: bool(site.history), 5.0):
        return NOT_RUN
    if site.history[0].runner is not first:
        site.record.write("the task runs on another runner than the case needs")
        return NOT_RUN
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        await asyncio.gather(site.entries[0].kill(), site.agents[0].kill())
        await asyncio.sleep(RESTART_S)
        await asyncio.gather(site.entries[0].start(), site.agents[0].start())
    await site.wait_until(lambda: any(run.how == "done" for run in site.history), 45.0)
    await asyncio.sleep(2.0)
    await site.state_of(job_id(1))
    pairs = site.overlaps()
    for one, other in pairs:
        site.record.write(
            f"{one.task} ran twice at the same time: run {one.attempt} on {one.runner.name} and "
            f"run {other.attempt} on {other.runner.name}"
        )
    return BROKEN if pairs else HELD


run_case(FOLDER, play)
