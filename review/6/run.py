"""An end that an owner knows and could not store is forgotten when another owner takes over."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import TROUBLE, find_doubled, run_case  # noqa: E402

OUTAGE_S = 4.0
"""`platform_down` with a share, so that only some of the partitions are down; 4.5 s at most."""

KILL_AFTER_S = 3.9
RESTART_S = 1.5
"""Short delay after which killed processes are started again."""

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
        store.busy_topics = {"keyed.jobs"}
        journal.note("store", "the partition of keyed.jobs goes down")
        await asyncio.sleep(KILL_AFTER_S)
        for program in (owner, agent):
            program.send(signal.SIGKILL)
        await asyncio.sleep(OUTAGE_S - KILL_AFTER_S)
        store.busy_topics = set()
        journal.note("store", "the partition of keyed.jobs is back")
        await asyncio.sleep(RESTART_S - (OUTAGE_S - KILL_AFTER_S))
        for program in (owner, agent):
            await program.start()
    await asyncio.sleep(8.0)
    await deployment.request("front-1", "GET", job)
    return find_doubled(deployment)


run_case(play, RECORD, runners=11)
