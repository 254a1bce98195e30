"""An end that an owner knows and could not store is forgotten when another owner takes over."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import TROUBLE, find_doubled, run_case  # noqa: E402

OUTAGE_S = 4.5
"""`platform_down` with a share, so that only some of the partitions are down."""

FREEZE_AFTER_S = 3.0
FREEZE_S = 4.0
"""`node_freeze` with `for_s = 4.0`."""

FIRST_STEP_S = 5.0


async def play(deployment):
    journal, store = deployment.journal, deployment.store
    step = {"taskCount": 1, "cpu": 4000, "memMb": 4000, "estRuntimeMs": int(FIRST_STEP_S * 1000)}
    job = await deployment.submit(
        "/bundle/", {"taskSpec": f"done {FIRST_STEP_S}", "steps": [step, step | {"after": [0]}]}
    )
    runners = deployment.runners
    while not (names := [name for name in runners if runners[name].runs]):
        await asyncio.sleep(0.02)
    (name,) = names
    await asyncio.sleep(FIRST_STEP_S - 0.5)
    if TROUBLE:
        owner = deployment.entries[deployment.owner()]
        agent = deployment.agents[name]
        store.down_topics = {"keyed.jobs"}
        journal.note("store", "the partition of keyed.jobs goes down")
        await asyncio.sleep(FREEZE_AFTER_S)
        for program in (owner, agent):
            program.send(signal.SIGSTOP)
        await asyncio.sleep(OUTAGE_S - FREEZE_AFTER_S)
        store.down_topics = set()
        journal.note("store", "the partition of keyed.jobs is back")
        await asyncio.sleep(FREEZE_AFTER_S + FREEZE_S - OUTAGE_S)
        for program in (owner, agent):
            program.send(signal.SIGCONT)
    await asyncio.sleep(20.0)
    await deployment.request("front-1", "GET", job)
    return find_doubled(deployment)


run_case(play, FOLDER, runners=4)
