"""A start gets no answer and is carried out late, by the next incarnation of a crashed runner."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import TROUBLE, find_overlaps, run_case  # noqa: E402

LATE_S = 9.0
"""`applied_late`: orders are carried out 2 to 12 s later."""

CRASH_AFTER_S = 2.0
DOWN_S = 4.5
"""`srv_crash` with `for_s = 4.5`."""

WORK_S = 20.0
OTHER_TASKS = 20
"""Orders beside the late one, so that it is less than the 0.055 of all in the site file."""


async def play(deployment):
    delayed = []

    def choose(document):
        if TROUBLE and not delayed and document["taskSpec"] == f"done {WORK_S}":
            delayed.append(document)
            return LATE_S
        return None

    for proxy in deployment.proxies.values():
        proxy.choose = choose
    others = {"taskCount": OTHER_TASKS, "cpu": 500, "memMb": 100, "estRuntimeMs": 1000}
    await deployment.submit("/bundle/", {"taskSpec": "done 1.0", "steps": [others]})
    step = {"taskCount": 1, "cpu": 4000, "memMb": 1000, "estRuntimeMs": int(WORK_S * 1000)}
    job = await deployment.submit("/bundle/", {"taskSpec": f"done {WORK_S}", "steps": [step]})
    runners = deployment.runners
    task = job.rpartition("/")[2] + ".0.0.0"
    while not (running := [name for name in runners if task in runners[name].runs]):
        await asyncio.sleep(0.02)
    if TROUBLE:
        await asyncio.sleep(CRASH_AFTER_S)
        (name,) = running
        await runners[name].crash()
        await deployment.proxies[name].refuse()
        await asyncio.sleep(DOWN_S)
        await deployment.proxies[name].start()
        await runners[name].restart()
    await asyncio.sleep(LATE_S + 3.0 if TROUBLE else WORK_S + 3.0)
    await deployment.request("front-1", "GET", job)
    return find_overlaps(deployment)


run_case(play, RECORD, proxies=True, runners=8)
