"""The configuration changes while a new owner takes over, and the store is slow."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import BOUNDS, TROUBLE, make_configuration, run_case  # noqa: E402

OLD_ATTEMPTS, NEW_ATTEMPTS = 4, 1
SLOW_S = 0.24
"""`platform_slow` with `x = 60`: 60 times the usual 4 ms."""

SLOW_FOR_S = 4.5
CHANGE_AFTER_S = 0.3
"""Time from the claim of the new owner to the change of the configuration."""

JOBS = 6


async def play(deployment):
    store = deployment.store
    claimed = asyncio.Event()
    if TROUBLE:
        owner = deployment.owner()
        old_epoch = epoch_of(store)

        def observe(topic, epoch, contents):
            if topic == "keyed.control" and epoch_of(store) != old_epoch:
                claimed.set()

        store.observers.append(observe)
        store.delay_s = SLOW_S
        slow_s = deployment.journal.now_s()
        deployment.journal.note("store", f"answers after {SLOW_S} s")
        await asyncio.sleep(0.5)
        deployment.entries[owner].send(signal.SIGKILL)
        await claimed.wait()
        await asyncio.sleep(CHANGE_AFTER_S)
    store.publish("config", make_configuration(2, maxAttempts=NEW_ATTEMPTS))
    changed_s = deployment.journal.now_s()
    if TROUBLE:
        await deployment.entries[owner].start()
        await asyncio.sleep(max(0.0, slow_s + SLOW_FOR_S - deployment.journal.now_s()))
        store.delay_s = 0.004
        deployment.journal.note("store", "is as quick as before")
    await asyncio.sleep(2 * BOUNDS["configApplyMs"] / 1000)
    entry = next(name for name in deployment.entries if not TROUBLE or name != owner)
    step = {"taskCount": 1, "cpu": 1000, "memMb": 1000, "estRuntimeMs": 2000}
    document = {"taskSpec": "failed 2.0", "steps": [step]}
    jobs = [await deployment.submit("/bundle/", document, entry) for _ in range(JOBS)]
    await asyncio.sleep(7.0)
    for job in jobs:
        await deployment.request(entry, "GET", job)
    return find_excess(deployment, changed_s)


def epoch_of(store):
    record = store.topic("keyed.control").newest.get("owner")
    return None if record is None else record[0].partition(b"incarnation")[0]


def find_excess(deployment, changed_s):
    """Return the starts after as many failed runs as the newest configuration allows."""
    runners = list(deployment.runners.values())
    failed = {}
    for runner in runners:
        for ended_s, position, task, attempt, how in runner.ends:
            if how == "failed" and position <= runner.acknowledged:
                failed.setdefault(task, []).append(ended_s)
    return [
        f"BUDGET: {task} #{attempt} started at {started_s:.3f} after {count} failed runs, with "
        f"maxAttempts = {NEW_ATTEMPTS} acknowledged at {changed_s:.3f}"
        for runner in runners
        for started_s, task, attempt in runner.starts
        if (count := sum(each < started_s for each in failed.get(task, ()))) >= NEW_ATTEMPTS
    ]


run_case(play, RECORD)
