"""Changes are accepted once, in one order, and never revert."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briardeal_core.configuration.store import (
    Accepted,
    ConfigurationView,
    Conflict,
    VersionedConfiguration,
)
from briardeal_core.configuration.store._verdicts import PendingChanges
from briardeal_core.reasons import Reason, RunState
from tests.core.configuration.cluster import Cluster, Node, sample

pytestmark = pytest.mark.looptime

IN_FORCE_WITHIN_S = 6.0


async def test_change_is_in_force_everywhere_and_described():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        first = await cluster.nodes["a"].store.apply(sample(1), 0, "ann")
        second = await cluster.nodes["b"].store.apply(sample(2), first.version, "bob")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        store = cluster.nodes["c"].store
        assert cluster.versions() == dict.fromkeys("abc", second.version)
        assert store.configuration == sample(2)
        assert (store.status().version, store.status().author) == (second.version, "bob")
        assert IN_FORCE_WITHIN_S - 1 <= store.status().age_s <= IN_FORCE_WITHIN_S + 1
        assert await store.history.diff(first.version, second.version) == (
            "Class 'c': finish_within_s was 2.0 and is 3.0.",
        )
        assert [item.author for item in store.history.list_changes()] == ["ann", "bob"]


async def test_operators_racing_with_lost_answers_have_one_winner():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        for name in "ab":
            cluster.logs[name].faults.lost_acknowledgements = 1
        outcomes = await asyncio.gather(
            cluster.nodes["a"].store.apply(sample(1), 0, "ann"),
            cluster.nodes["b"].store.apply(sample(2), 0, "bob"),
        )
        assert [type(outcome) for outcome in outcomes] == [Accepted, Conflict]
        assert (outcomes[1].author, outcomes[1].version) == ("ann", outcomes[0].version)
        late = await cluster.nodes["c"].store.apply(sample(3), 0, "eve")
        assert isinstance(late, Conflict)
        assert cluster.log_store.kept[-1][0] == 1


async def test_unanswered_change_is_told_as_unknown_and_settles_later():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        cluster.logs["a"].faults.late_writes = 1
        cluster.logs["a"].faults.late_write_s = 20
        asyncio.get_running_loop().call_later(0.05, cluster.cut, "a")
        outcome = await cluster.nodes["a"].store.apply(sample(1), 0, "ann")
        assert (outcome.reason, outcome.run_state) == (Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)
        assert set(cluster.versions().values()) == {0}
        await asyncio.sleep(20)
        assert set(cluster.versions().values()) == {1}


async def test_peer_that_reads_the_log_settles_a_change():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        cluster.logs["a"].faults.late_writes = 1
        cluster.logs["a"].faults.late_write_s = 2.0
        asyncio.get_running_loop().call_later(0.05, cluster.cut, "a")
        assert await cluster.nodes["a"].store.apply(sample(1), 0, "ann") == Accepted(1)
        assert cluster.nodes["a"].store.view.version == 0


async def test_outage_refuses_and_a_restarted_process_learns_from_peers():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(sample(1), 0, "ann")
        cluster.cut("a", "b", "c")
        await cluster.restart("a", "b")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert set(cluster.versions().values()) == {1}
        refusal = await cluster.nodes["a"].store.apply(sample(2), 1, "ann")
        assert (refusal.reason, refusal.run_state) == (Reason.LOG_UNAVAILABLE, RunState.NOT_RUN)
        assert cluster.nodes["a"].store.status().unconfirmed_s is None
        await asyncio.sleep(1800)
        cluster.cut("a", "b", "c", down=False)
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert await cluster.nodes["b"].store.apply(sample(2), 1, "ann") == Accepted(2)


async def test_stale_peer_and_passed_versions_never_revert():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        store = cluster.nodes["a"].store
        await store.apply(sample(1), 0, "ann")
        stale = store.newest()
        await store.apply(sample(2), 1, "ann")
        seen = []
        await cluster.restart("b")
        cluster.nodes["b"].store.subscribe(lambda offered, _: seen.append(offered.version))
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert seen == [2]
        assert cluster.nodes["b"].store.offer(stale) is False
        assert cluster.nodes["b"].store.configuration == sample(2)


async def test_all_readers_restarted_past_retention_keep_the_version():
    async with Cluster(retention_s=400, snapshot_interval_s=100) as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(sample(1), 0, "ann")
        await asyncio.sleep(2000)
        assert cluster.log_store.read("configuration", 1, 1).entries == ()
        await cluster.restart("a", "b", "c")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert set(cluster.versions().values()) == {1}
        assert await cluster.nodes["b"].store.apply(sample(2), 1, "bob") == Accepted(2)


async def test_gap_is_mended_by_a_peer():
    async with Cluster("ab") as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(sample(1), 0, "ann")
        cluster.log_store.drop_before("configuration", 1)
        await cluster.restart("b")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert await cluster.nodes["b"].store.apply(sample(2), 1, "bob") == Accepted(2)


async def test_gap_is_mended_only_by_a_peer_that_read_far_enough():
    async with Cluster("a") as cluster:
        await asyncio.sleep(1)
        first = cluster.nodes["a"].store
        await first.apply(sample(1), 0, "ann")
        offered = first.newest()
        cluster.log_store.drop_before("configuration", 1)
        late = Node(cluster, "a", "late")
        await late.store.start()
        await asyncio.sleep(1)
        late.store.offer(msgspec.structs.replace(offered, folded_to=0))
        assert late.store.newest().folded_to == 0
        assert (await late.store.apply(sample(2), 1, "bob")).reason is Reason.LOG_GAP
        late.exchange.peers = lambda: [cluster.nodes["a"]]
        await late.exchange.start()
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert await late.store.apply(sample(2), 1, "bob") == Accepted(2)
        await late.exchange.stop()
        await late.store.stop()


async def test_gap_beyond_what_a_peer_has_read_stays_told():
    async with Cluster("a") as cluster:
        await asyncio.sleep(1)
        first = cluster.nodes["a"].store
        await first.apply(sample(1), 0, "ann")
        offered = first.newest()
        await first.apply(sample(2), 1, "ann")
        cluster.log_store.drop_before("configuration", 2)
        late = Node(cluster, "a", "late")
        await late.store.start()
        await asyncio.sleep(1)
        late.store.offer(offered)
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert (await late.store.apply(sample(3), 1, "bob")).reason is Reason.LOG_GAP
        await late.store.stop()


async def test_change_is_not_told_as_lost_where_history_has_a_hole():
    view = ConfigurationView(lambda: None)
    pending = PendingChanges()
    verdict = pending.add("mine", 1)
    version = VersionedConfiguration(
        version=5, change_id="x", author="a", format=1, body=b"", accepted_at_s=0
    )
    view.adopt(version)
    pending.settle_read(view)
    assert not verdict.done()
    pending.settle_offered(msgspec.structs.replace(version, change_id="mine"))
    assert verdict.result() == Accepted(5)


async def test_lost_log_is_told_and_operators_start_again():
    async with Cluster("ab") as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(sample(1), 0, "ann")
        await cluster.stop("a")
        await cluster.stop("b")
        cluster.log_store.drop_before("configuration", 1)
        await cluster.start("a")
        await cluster.start("b")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        store = cluster.nodes["a"].store
        assert (await store.apply(sample(2), 0, "ann")).reason is Reason.LOG_GAP
        assert await store.replace_lost(sample(2), "ann") == Accepted(2)
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert cluster.versions() == {"a": 2, "b": 2}
        assert await cluster.nodes["b"].store.apply(sample(3), 2, "bob") == Accepted(3)
        again = await store.replace_lost(sample(4), "ann")
        assert again.reason is Reason.CONFIGURATION_NOT_LOST


async def test_older_program_counts_a_newer_change_it_cannot_read(monkeypatch):
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        old, new = cluster.nodes["a"].store, cluster.nodes["b"].store
        await new.apply(sample(1), 0, "ann")
        monkeypatch.setattr("briardeal_core.configuration.store._store.CONFIGURATION_FORMAT", 2)
        assert await new.apply(sample(2), 1, "ann") == Accepted(2)
        monkeypatch.undo()
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert old.configuration == sample(1)
        assert (old.status().version, old.status().unreadable_version) == (1, 2)
        assert await old.apply(sample(3), 2, "bob") == Accepted(3)
        assert old.status().unreadable_version is None


def test_added_fields_are_left_out_by_older_programs():
    class Newer(msgspec.Struct):
        classes: tuple = ()
        added_later: str = "x"

    body = msgspec.msgpack.encode(Newer())
    versioned = VersionedConfiguration(
        version=1, change_id="x", author="a", format=1, body=body, accepted_at_s=0
    )
    assert versioned.decode() is not None
