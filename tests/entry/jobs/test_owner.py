"""Jobs survive crashes, pauses and network faults of owners, agents and the log."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briardeal.jobs import RESTART_WAIT_S, FirstFitScheduler
from briardeal_core.clock import loop_time
from briardeal_core.configuration import Configuration, Customer, JobClass
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.messages import ReserveTask, StartTask
from briardeal_scheduling import Preempt, PreemptMode, Scheduler
from tests.entry.jobs.cluster import Cluster, create_job
from tests.entry.jobs.run_checker import check_runs

pytestmark = pytest.mark.looptime(noop_cycles=2)

QUIET_S = 2 * RESTART_WAIT_S


def inject_before_order(cluster, entry, kind, inject_fault):
    """Call `inject_fault` just before the entry sends its first order of a kind.

    Return an event that is set when that happens.
    """
    injected = asyncio.Event()
    send_order = entry.jobs.gang_client._send_order

    async def send_after_fault(agent, message):
        if isinstance(message, kind) and not injected.is_set():
            injected.set()
            inject_fault()
        return await send_order(agent, message)

    entry.jobs.gang_client._send_order = send_after_fault
    return injected


async def wait_and_check(cluster):
    await asyncio.sleep(QUIET_S)
    check_runs(cluster, loop_time())


@pytest.mark.parametrize("kind", [ReserveTask, StartTask])
@pytest.mark.parametrize("how", ["kill", "pause"])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_job_finishes_after_owner_is_lost_during_its_start(kind, how, idempotent):
    async with Cluster(entries=2, workers=3) as cluster:
        owner = await cluster.wait_owner()
        await asyncio.sleep(10)
        injected = inject_before_order(cluster, owner, kind, getattr(owner, how))
        job_id = await cluster.submit(owner, tasks=3, command="60", idempotent=idempotent)
        await injected.wait()
        await asyncio.sleep(40)
        owner.resume()
        await wait_and_check(cluster)
        assert cluster.view(job_id).state == "finished"


async def test_running_job_finishes_after_owner_is_killed():
    async with Cluster() as cluster:
        owner = await cluster.wait_owner()
        job_id = await cluster.submit(owner, tasks=4, command="100", idempotent=False)
        await cluster.wait_running(job_id)
        owner.kill()
        await wait_and_check(cluster)
        assert cluster.view(job_id).state == "finished"


async def test_job_resumes_from_checkpoint_after_owner_is_killed_during_preemption():
    async with Cluster() as cluster:
        owner = await cluster.wait_owner()
        job_id = await cluster.submit(owner, tasks=4, command="50", checkpointable=True)
        await cluster.wait_state(job_id, "running")
        owner.jobs.owner.term.scheduler.pending_decisions.append(
            Preempt(job_id, PreemptMode.CHECKPOINT, "test")
        )
        while not any(
            s.state == "stopping" for s in owner.jobs.registry.newest_attempts().values()
        ):
            await asyncio.sleep(0.01)
        owner.kill()
        await cluster.wait_running(job_id)
        await wait_and_check(cluster)
        newest = cluster.agents[0].worker.running[f"{job_id}.2"].task
        assert newest.state == "finished"
        assert cluster.view(job_id).checkpoints[0].startswith("at-")


async def test_resumed_owner_that_was_replaced_starts_nothing():
    async with Cluster() as cluster:
        old = await cluster.wait_owner()
        old.pause()
        new = await cluster.wait_owner(other_than=old)
        job_id = await cluster.submit(new, tasks=2, command="30")
        await cluster.wait_running(job_id)
        old.resume()
        await wait_and_check(cluster)
        assert old.jobs.owner.term is None


async def test_append_faults_neither_lose_nor_duplicate_jobs():
    async with Cluster() as cluster:
        owner = await cluster.wait_owner()
        faults = owner.log.faults
        for name in ("lost_acknowledgements", "double_writes", "late_writes"):
            setattr(faults, name, 2)
            for _ in range(3):
                await cluster.submit(owner, command="3")
        await wait_and_check(cluster)


async def test_submission_during_log_outage_is_refused_as_not_run():
    async with Cluster() as cluster:
        owner = await cluster.wait_owner()
        cluster.set_log_outage(True)
        outcome = await owner.jobs.submit(create_job())
        assert isinstance(outcome, Refusal)
        assert (outcome.reason, outcome.run_state) == (Reason.LOG_UNAVAILABLE, RunState.NOT_RUN)


async def test_same_idempotency_key_yields_same_job_through_any_entry():
    async with Cluster() as cluster:
        await cluster.wait_owner()
        names = await asyncio.gather(
            *(cluster.submit(entry, key="k", command="1") for entry in cluster.entries)
        )
        assert len(set(names)) == 1
        other = await cluster.entries[0].jobs.submit(cluster.accepted[names[0]], "k")
        assert other.job_id == names[0]
        changed = await cluster.entries[0].jobs.submit(create_job(), "k")
        assert changed.reason is Reason.JOB_KEY_REUSED


async def test_only_idempotent_jobs_start_during_log_outage():
    async with Cluster(entries=3) as cluster:
        owner = await cluster.wait_owner()
        long = await cluster.submit(owner, tasks=4, accelerators_per_task=8, command="100")
        waiting = await cluster.submit(owner, tasks=4, accelerators_per_task=8, command="100")
        careful = await cluster.submit(
            owner, tasks=4, accelerators_per_task=8, command="9", idempotent=False
        )
        await cluster.wait_running(long)
        cluster.set_log_outage(True)
        await cluster.wait_running(waiting, within_s=200)
        await asyncio.sleep(3600)
        assert cluster.count_running(careful) == 0
        cluster.set_log_outage(False)
        await wait_and_check(cluster)


async def test_unrecorded_attempt_is_adopted_after_owner_is_killed_during_log_outage():
    async with Cluster(entries=3) as cluster:
        owner = await cluster.wait_owner()
        await cluster.submit(owner, tasks=4, accelerators_per_task=8, command="20")
        job_id = await cluster.submit(owner, tasks=4, accelerators_per_task=8, command="300")
        cluster.set_log_outage(True)
        await cluster.wait_running(job_id)
        await asyncio.sleep(20)
        owner.kill()
        await asyncio.sleep(5)
        cluster.set_log_outage(False)
        await asyncio.sleep(500)
        await wait_and_check(cluster)
        assert sum(f"{job_id}.2" in agent.worker.running for agent in cluster.agents) == 0


async def test_owner_that_alone_loses_the_log_is_replaced():
    async with Cluster(entries=3) as cluster:
        old = await cluster.wait_owner()
        cluster.set_log_outage(True, old)
        new = await cluster.wait_owner(other_than=old)
        job_id = await cluster.submit(new, command="3")
        await cluster.wait_state(job_id, "finished")
        await wait_and_check(cluster)


async def test_owner_partitioned_with_half_of_the_agents_does_not_double_runs():
    async with Cluster(entries=2, workers=4) as cluster:
        old = await cluster.wait_owner()
        other = next(entry for entry in cluster.entries if entry is not old)
        cluster.partitioned.add(frozenset((old.name, other.name)))
        cluster.set_log_outage(True, old)
        for agent, entry in zip(cluster.agents, [old, old, other, other], strict=True):
            cut = next(e for e in cluster.entries if e is not entry)
            agent.network.cut(cluster.addresses[cluster.entries.index(cut)])
        new = await cluster.wait_owner(other_than=old)
        job_id = await cluster.submit(new, tasks=2, command="30")
        await cluster.wait_running(job_id)
        await wait_and_check(cluster)


async def test_running_job_is_adopted_after_all_entries_are_replaced():
    async with Cluster(entries=2) as cluster:
        owner = await cluster.wait_owner()
        running = await cluster.submit(owner, tasks=4, command="90", idempotent=False)
        await cluster.wait_state(running, "running")
        for index in range(2):
            await cluster.replace(index, f"n{index}")
        job_id = await cluster.submit(await cluster.wait_owner(), command="3")
        await cluster.wait_state(job_id, "finished")
        await wait_and_check(cluster)


async def test_jobs_survive_restart_of_all_entries_and_agents():
    async with Cluster(entries=2) as cluster:
        owner = await cluster.wait_owner()
        for _ in range(6):
            await cluster.submit(owner, tasks=2, command="40")
        await asyncio.sleep(20)
        for index in range(2):
            await cluster.replace(index, f"n{index}")
        for agent in cluster.agents:
            await agent.restart()
        await asyncio.sleep(200)
        await wait_and_check(cluster)


async def test_job_with_lost_worker_runs_again_only_if_idempotent():
    async with Cluster(workers=5) as cluster:
        owner = await cluster.wait_owner()
        job_id = await cluster.submit(owner, tasks=4, command="200")
        once = await cluster.submit(owner, tasks=4, command="200", idempotent=False)
        await cluster.wait_running(job_id)
        await cluster.wait_running(once)
        cluster.agents[0].kill()
        await asyncio.sleep(400)
        await wait_and_check(cluster)
        assert cluster.view(once).state == "failed"
        assert "may not run twice" in cluster.view(once).why


class CountingFirstFitScheduler(FirstFitScheduler):
    def __init__(self) -> None:
        super().__init__()
        self.checkpoints = []

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        self.checkpoints.append(job_id)


async def test_gang_that_loses_a_worker_resumes_from_its_newest_checkpoint():
    async with Cluster(workers=5, create_scheduler=CountingFirstFitScheduler) as cluster:
        owner = await cluster.wait_owner()
        job_id = await cluster.submit(owner, tasks=4, command="200", checkpointable=True)
        await cluster.wait_running(job_id)
        running = [a.worker.running[f"{job_id}.1"] for a in cluster.agents if a.worker.running]
        for worker_task in running:
            worker_task.task = msgspec.structs.replace(worker_task.task, checkpoint="at-50")
        await asyncio.sleep(5)
        assert owner.jobs.owner.term.scheduler.checkpoints == [job_id]
        next(a for a in cluster.agents if a.worker.running).kill()
        await asyncio.sleep(400)
        await wait_and_check(cluster)
        again = [a.worker.running.get(f"{job_id}.2") for a in cluster.agents]
        assert [
            worker_task.task.checkpoint for worker_task in again if worker_task is not None
        ] == ["at-50"] * 4


async def test_cancelled_job_ends_without_running_tasks():
    async with Cluster() as cluster:
        owner = await cluster.wait_owner()
        job_id = await cluster.submit(owner, tasks=4, command="500")
        await cluster.wait_running(job_id)
        assert not isinstance(await cluster.entries[1].jobs.cancel(job_id), Refusal)
        await cluster.wait_state(job_id, "cancelled", within_s=10)
        assert cluster.count_running(job_id) == 0
        again = await owner.jobs.cancel("job-unknown")
        assert again.reason is Reason.JOB_UNKNOWN
        assert "cancelled" in owner.jobs.explain(job_id)[-1]


async def test_scheduler_decisions_survive_replacement_of_the_owner():
    configuration = Configuration(
        classes=(JobClass(name="sampling", finish_within_s=600, start_within_s=1.1),),
        customers=(Customer(name="audit"),),
    )
    async with Cluster(create_scheduler=Scheduler) as cluster:
        for entry in cluster.entries:
            entry.jobs.configure(configuration)
        owner = await cluster.wait_owner()
        await asyncio.sleep(2)
        running = await cluster.submit(owner, tasks=4, command="60", idempotent=False)
        waiting = await cluster.submit(owner, tasks=4, accelerators_per_task=8, command="20")
        never = await cluster.submit(owner, tasks=9, command="20")
        await cluster.wait_state(never, "refused")
        del cluster.accepted[never]
        await cluster.wait_running(running, within_s=2)
        assert "ago" in owner.jobs.explain(waiting)[-1]
        killed_s = loop_time()
        owner.kill()
        new = await cluster.wait_owner(other_than=owner)
        while new.jobs.owner.term is None or running not in new.jobs.owner.term.attempts:
            await asyncio.sleep(0.1)
        adopted = new.jobs.owner.term.scheduler.state.table.jobs[running]
        assert adopted.started_s < killed_s
        await cluster.wait_state(waiting, "finished")
        await wait_and_check(cluster)


async def test_job_is_not_refused_while_workers_that_it_needs_are_unreachable():
    configuration = Configuration(
        classes=(JobClass(name="sampling", finish_within_s=600),),
        customers=(Customer(name="audit"),),
    )
    async with Cluster(create_scheduler=Scheduler) as cluster:
        for entry in cluster.entries:
            entry.jobs.configure(configuration)
        owner = await cluster.wait_owner()
        await asyncio.sleep(5)
        for entry in cluster.entries:
            cluster.agents[0].network.cut(entry.listener.address)
        owner.kill()
        new = await cluster.wait_owner(other_than=owner)
        job_id = await cluster.submit(new, tasks=4, command="5")
        await asyncio.sleep(30)
        for entry in cluster.entries:
            cluster.agents[0].network.heal(entry.listener.address)
        await cluster.wait_state(job_id, "finished")
        await wait_and_check(cluster)
