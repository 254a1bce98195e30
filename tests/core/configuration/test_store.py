"""Changes are accepted once, in one order for all processes, and never reverted."""

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
from briardeal_core.configuration.store._pending_changes import PendingChanges
from briardeal_core.reasons import Reason, RunState
from tests.core.configuration.cluster import Cluster, Node, make_configuration

pytestmark = pytest.mark.looptime

IN_FORCE_WITHIN_S = 6.0


async def test_change_comes_into_force_in_all_processes():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        first = await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann")
        second = await cluster.nodes["b"].store.apply(make_configuration(2), first.version, "bob")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        store = cluster.nodes["c"].store
        assert cluster.versions() == dict.fromkeys("abc", second.version)
        assert store.configuration == make_configuration(2)
        assert (store.status().version, store.status().author) == (second.version, "bob")
        assert IN_FORCE_WITHIN_S - 1 <= store.status().age_s <= IN_FORCE_WITHIN_S + 1
        assert await store.history.diff(first.version, second.version) == (
            "Class 'c': finish_within_s was 2.0 and is 3.0.",
        )
        assert [item.author for item in store.history.list_changes()] == ["ann", "bob"]


async def test_concurrent_changes_with_lost_acknowledgements_have_one_winner():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        for name in "ab":
            cluster.logs[name].faults.lost_acknowledgements = 1
        outcomes = await asyncio.gather(
            cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann"),
            cluster.nodes["b"].store.apply(make_configuration(2), 0, "bob"),
        )
        assert [type(outcome) for outcome in outcomes] == [Accepted, Conflict]
        assert (outcomes[1].author, outcomes[1].version) == ("ann", outcomes[0].version)
        late = await cluster.nodes["c"].store.apply(make_configuration(3), 0, "eve")
        assert isinstance(late, Conflict)
        assert cluster.log_store.recorded[-1][0] == 1


async def test_change_without_acknowledgement_returns_unknown_and_may_win_later():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        cluster.logs["a"].faults.late_writes = 1
        cluster.logs["a"].faults.late_write_s = 20
        asyncio.get_running_loop().call_later(0.05, cluster.set_outage, "a")
        outcome = await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann")
        assert (outcome.reason, outcome.run_state) == (Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)
        assert set(cluster.versions().values()) == {0}
        await asyncio.sleep(20)
        assert set(cluster.versions().values()) == {1}


async def test_peer_that_reads_the_log_resolves_a_change():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        cluster.logs["a"].faults.late_writes = 1
        cluster.logs["a"].faults.late_write_s = 2.0
        asyncio.get_running_loop().call_later(0.05, cluster.set_outage, "a")
        assert await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann") == Accepted(1)
        assert cluster.nodes["a"].store.view.version == 0


async def test_outage_refuses_changes_and_restarted_processes_read_from_peers():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann")
        cluster.set_outage("a", "b", "c")
        await cluster.restart("a", "b")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert set(cluster.versions().values()) == {1}
        refusal = await cluster.nodes["a"].store.apply(make_configuration(2), 1, "ann")
        assert (refusal.reason, refusal.run_state) == (Reason.LOG_UNAVAILABLE, RunState.NOT_RUN)
        assert cluster.nodes["a"].store.status().unconfirmed_s is None
        await asyncio.sleep(1800)
        cluster.set_outage("a", "b", "c", down=False)
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert await cluster.nodes["b"].store.apply(make_configuration(2), 1, "ann") == Accepted(2)


async def test_stale_peers_and_earlier_versions_never_revert_the_configuration():
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        store = cluster.nodes["a"].store
        await store.apply(make_configuration(1), 0, "ann")
        stale = store.newest()
        await store.apply(make_configuration(2), 1, "ann")
        seen = []
        await cluster.restart("b")
        cluster.nodes["b"].store.subscribe(lambda offered, _: seen.append(offered.version))
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert seen == [2]
        assert cluster.nodes["b"].store.offer(stale) is False
        assert cluster.nodes["b"].store.configuration == make_configuration(2)


async def test_version_survives_a_restart_of_all_processes_after_retention():
    async with Cluster(retention_s=400, snapshot_interval_s=100) as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann")
        await asyncio.sleep(2000)
        assert cluster.log_store.read("configuration", 1, 1).entries == ()
        await cluster.restart("a", "b", "c")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert set(cluster.versions().values()) == {1}
        assert await cluster.nodes["b"].store.apply(make_configuration(2), 1, "bob") == Accepted(2)


async def test_gap_is_closed_by_a_peer():
    async with Cluster("ab") as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann")
        cluster.log_store.drop_before("configuration", 1)
        await cluster.restart("b")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert await cluster.nodes["b"].store.apply(make_configuration(2), 1, "bob") == Accepted(2)


async def test_gap_is_closed_only_by_a_peer_that_read_far_enough():
    async with Cluster("a") as cluster:
        await asyncio.sleep(1)
        first = cluster.nodes["a"].store
        await first.apply(make_configuration(1), 0, "ann")
        offered = first.newest()
        cluster.log_store.drop_before("configuration", 1)
        late = Node(cluster, "a", "late")
        await late.store.start()
        await asyncio.sleep(1)
        late.store.offer(msgspec.structs.replace(offered, folded_to=0))
        assert late.store.newest().folded_to == 0
        assert (await late.store.apply(make_configuration(2), 1, "bob")).reason is Reason.LOG_GAP
        late.exchange.peers = lambda: [cluster.nodes["a"]]
        await late.exchange.start()
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert await late.store.apply(make_configuration(2), 1, "bob") == Accepted(2)
        await late.exchange.stop()
        await late.store.stop()


async def test_gap_beyond_the_position_of_a_peer_is_still_reported():
    async with Cluster("a") as cluster:
        await asyncio.sleep(1)
        first = cluster.nodes["a"].store
        await first.apply(make_configuration(1), 0, "ann")
        offered = first.newest()
        await first.apply(make_configuration(2), 1, "ann")
        cluster.log_store.drop_before("configuration", 2)
        late = Node(cluster, "a", "late")
        await late.store.start()
        await asyncio.sleep(1)
        late.store.offer(offered)
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert (await late.store.apply(make_configuration(3), 1, "bob")).reason is Reason.LOG_GAP
        await late.store.stop()


async def test_change_is_not_reported_as_lost_if_history_is_incomplete():
    view = ConfigurationView(lambda: None)
    pending = PendingChanges()
    outcome = pending.add("mine", 1)
    version = VersionedConfiguration(
        version=5, change_id="x", author="a", format=1, body=b"", accepted_at_s=0
    )
    view.adopt(version)
    pending.resolve_from_log(view)
    assert not outcome.done()
    pending.resolve_from_peer(msgspec.structs.replace(version, change_id="mine"))
    assert outcome.result() == Accepted(5)


async def test_lost_log_is_reported_and_operators_replace_the_configuration():
    async with Cluster("ab") as cluster:
        await asyncio.sleep(1)
        await cluster.nodes["a"].store.apply(make_configuration(1), 0, "ann")
        await cluster.stop("a")
        await cluster.stop("b")
        cluster.log_store.drop_before("configuration", 1)
        await cluster.start("a")
        await cluster.start("b")
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        store = cluster.nodes["a"].store
        assert (await store.apply(make_configuration(2), 0, "ann")).reason is Reason.LOG_GAP
        assert await store.replace_lost(make_configuration(2), "ann") == Accepted(2)
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert cluster.versions() == {"a": 2, "b": 2}
        assert await cluster.nodes["b"].store.apply(make_configuration(3), 2, "bob") == Accepted(3)
        again = await store.replace_lost(make_configuration(4), "ann")
        assert again.reason is Reason.CONFIGURATION_NOT_LOST


async def test_older_program_counts_a_newer_change_that_it_cannot_decode(monkeypatch):
    async with Cluster() as cluster:
        await asyncio.sleep(1)
        old, new = cluster.nodes["a"].store, cluster.nodes["b"].store
        await new.apply(make_configuration(1), 0, "ann")
        monkeypatch.setattr("briardeal_core.configuration.store._store.CONFIGURATION_FORMAT", 2)
        assert await new.apply(make_configuration(2), 1, "ann") == Accepted(2)
        monkeypatch.undo()
        await asyncio.sleep(IN_FORCE_WITHIN_S)
        assert old.configuration == make_configuration(1)
        assert (old.status().version, old.status().unreadable_version) == (1, 2)
        assert await old.apply(make_configuration(3), 2, "bob") == Accepted(3)
        assert old.status().unreadable_version is None


def test_older_programs_ignore_added_fields():
    class Newer(msgspec.Struct):
        classes: tuple = ()
        added_later: str = "x"

    body = msgspec.msgpack.encode(Newer())
    versioned = VersionedConfiguration(
        version=1, change_id="x", author="a", format=1, body=body, accepted_at_s=0
    )
    assert versioned.decode() is not None
