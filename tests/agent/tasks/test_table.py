"""The agent neither loses nor duplicates tasks, whatever the platform answers."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_agent.tasks import PARTIAL_GANG_LIMIT_S, TaskReporter, TaskTable
from briardeal_protocol.messages import (
    GangsWhole,
    ReserveTask,
    StartTask,
    StopTask,
    TakeInventory,
    TaskState,
)
from briardeal_standins.worker import StandinWorker

pytestmark = pytest.mark.looptime(noop_cycles=2)


def now_s():
    return asyncio.get_running_loop().time()


def create_table(worker=None):
    return TaskTable(worker or StandinWorker(), 8, now_s)


def reserve(job_id="j", attempt=1, token=1, accelerators=4):
    return ReserveTask(
        call_id=1,
        token=token,
        job_id=job_id,
        attempt=attempt,
        accelerators=accelerators,
        workers=("w",),
        command="500",
    )


def start(job_id="j", attempt=1, token=1):
    return StartTask(call_id=2, token=token, job_id=job_id, attempt=attempt)


async def test_start_with_lost_answer_is_resolved_by_listing():
    table = create_table()
    table.reserve(reserve())
    table.worker.lost_answers = 1
    assert (await table.start(start())).state is TaskState.STARTING
    await table.poll()
    assert (await table.start(start())).state is TaskState.RUNNING
    assert table.worker.starts == {"j.1": 1}


async def test_start_while_platform_is_down_takes_effect_later():
    table = create_table()
    table.reserve(reserve())
    table.worker.down = True
    await table.start(start())
    await table.poll()
    table.worker.down = False
    await table.poll()
    await table.poll()
    assert table.members["j"].state is TaskState.RUNNING
    assert table.worker.starts == {"j.1": 1}


async def test_older_owner_is_rejected():
    table = create_table()
    table.raise_fence(TakeInventory(call_id=1, token=7))
    assert table.reserve(reserve(token=6)).state is TaskState.REFUSED
    assert table.reserve(reserve(token=7)).state is TaskState.RESERVED
    assert (await table.start(start(token=6))).state is TaskState.REFUSED


async def test_restarted_agent_restores_tasks_and_fence():
    table = create_table()
    table.reserve(reserve(token=5))
    await table.start(start(token=5))
    restored = create_table(table.worker)
    table.worker.down = True
    assert not await restored.restore()
    table.worker.down = False
    assert await restored.restore()
    assert (restored.fence, restored.free_accelerators()) == (5, 4)
    assert restored.inventory()[0].workers == ("w",)
    assert restored.reserve(reserve("k", accelerators=5, token=5)).state is TaskState.REFUSED


async def test_reservations_expire_and_reject_what_does_not_fit():
    table = create_table()
    table.reserve(reserve("a", accelerators=8))
    assert table.reserve(reserve("b", accelerators=1)).state is TaskState.REFUSED
    await asyncio.sleep(5)
    assert (await table.start(start("a"))).state is TaskState.STOPPED
    assert table.reserve(reserve("b", accelerators=8)).state is TaskState.RESERVED


@pytest.mark.parametrize("confirmations", [0, 3])
async def test_unconfirmed_member_is_stopped_within_limit(confirmations):
    table = create_table()
    reporter = TaskReporter(table)
    table.reserve(reserve())
    await table.start(start())
    confirmed_s = now_s()
    while table.members["j"].live:
        await asyncio.sleep(0.5)
        await table.poll()
        report = reporter.next_report()
        if report is not None and report.sequence <= confirmations:
            confirmed_s = now_s()
            reporter.apply_confirmation(GangsWhole(sequence=report.sequence, tasks=report.live))
    assert 0 < now_s() - confirmed_s <= PARTIAL_GANG_LIMIT_S
    assert table.worker.running["j.1"].ended_s is not None


async def test_delayed_confirmation_extends_nothing():
    table = create_table()
    reporter = TaskReporter(table)
    table.reserve(reserve())
    await table.start(start())
    report = reporter.next_report()
    await asyncio.sleep(19)
    reporter.apply_confirmation(GangsWhole(sequence=report.sequence, tasks=report.live))
    assert table.members["j"].confirmed_until_s == 60


async def test_stop_during_hanging_start_leaves_nothing_running():
    table = create_table()
    table.reserve(reserve())
    table.worker.delay_s = 1.0
    starting = asyncio.create_task(table.start(start()))
    await asyncio.sleep(0.5)
    table.worker.delay_s = 0.0
    await table.stop(StopTask(call_id=3, token=1, job_id="j", attempt=1))
    await starting
    for _ in range(3):
        await table.poll()
    assert table.members["j"].state is TaskState.STOPPED
    assert table.worker.running["j.1"].ended_s is not None
