"""Entries find each other, and find those that are gone, within seconds."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.peers import LEASE_S
from briardeal_protocol.peers import DomainLoad, ServiceLoad
from tests.entry.peers.cluster import Cluster, wait_until

pytestmark = pytest.mark.looptime

NOTICE_S = 6.0
HOUR_S = 3600.0


def one_stream_a_pair(cluster) -> bool:
    members = [node.member for node in cluster.nodes.values()]
    near, far = ({m.failure_domain for m in members if m.region == r} for r in ("r0", "r1"))
    pairs = {(left, right) for left in near for right in far}
    return cluster.streams() == dict.fromkeys(pairs, 1)


async def settles(cluster, limit_s) -> bool:
    await wait_until(lambda: cluster.converged() and one_stream_a_pair(cluster), limit_s)
    return cluster.converged() and one_stream_a_pair(cluster)


async def test_all_find_each_other_and_tell_the_agents_of_their_region():
    async with Cluster() as cluster:
        assert cluster.converged()
        assert one_stream_a_pair(cluster)
        for node in cluster.nodes.values():
            near = [n.member.agent_address for n in cluster.nodes.values()]
            near = [address for address in near if address[:2] == node.member.region]
            assert node.fake.entries == tuple(sorted(near))


async def test_bytes_across_regions_are_counted_at_both_ends():
    async with Cluster(domains=1, entries=2) as cluster:
        ends = {"r0": [0, 0], "r1": [0, 0]}
        for node in cluster.nodes.values():
            far = "r1" if node.member.region == "r0" else "r0"
            for link in node.service.sessions:
                node.service.traffic.sample(link)
            ends[node.member.region][0] += node.service.traffic.sent[far]
            ends[node.member.region][1] += node.service.traffic.received[far]
        assert 0 < ends["r1"][1] <= ends["r0"][0]
        assert 0 < ends["r0"][1] <= ends["r1"][0]


async def test_each_of_three_regions_has_one_stream_to_each_other():
    async with Cluster(regions=3, domains=1, entries=2) as cluster:
        assert cluster.converged()
        assert sorted(cluster.streams().items()) == [
            (("r0-d0", "r1-d0"), 1),
            (("r0-d0", "r2-d0"), 1),
            (("r1-d0", "r2-d0"), 1),
        ]


async def test_killed_entries_are_noticed_and_their_streams_taken_over():
    async with Cluster() as cluster:
        carriers = [n.name for n in cluster.nodes.values() if n.table.streams()]
        for name in carriers[:2] + carriers[-2:]:
            cluster.kill(name)
        assert await settles(cluster, NOTICE_S)


async def test_a_failure_domain_down_is_noticed_and_found_again():
    async with Cluster() as cluster:
        gone = [cluster.kill(f"r1-d2-e{number}") for number in range(3)]
        await asyncio.sleep(NOTICE_S)
        assert cluster.converged()
        for node in gone:
            await cluster.start("r1", "r1-d2", node.name)
        assert await settles(cluster, NOTICE_S)


@pytest.mark.parametrize("pair", [("r0-d0-e0", "r0-d1-e1"), ("r0-d1-e1", "r0-d0-e0")])
async def test_a_silent_link_is_replaced_while_its_ends_are_alive(pair):
    async with Cluster(regions=1) as cluster:
        near, far = (cluster.nodes[name] for name in pair)
        link = near.table.links[far.name]
        cluster.fabric.silence(*pair)
        await asyncio.sleep(NOTICE_S)
        assert cluster.converged()
        assert near.table.links[far.name] is not link


async def test_restarted_seeds_that_know_nobody_alive_are_found_by_the_others():
    async with Cluster() as cluster:
        for name in cluster.seeds:
            cluster.kill(name)
        await asyncio.sleep(NOTICE_S)
        await cluster.start("r0", "r0-d0", cluster.seeds[0])
        assert await settles(cluster, NOTICE_S)


async def test_an_end_that_is_not_heard_notices_without_being_told():
    async with Cluster(regions=1) as cluster:
        deaf, heard = cluster.nodes["r0-d0-e0"], cluster.nodes["r0-d2-e1"]
        cluster.fabric.block([heard.name], [deaf.name])
        await asyncio.sleep(LEASE_S - 0.5)
        cluster.fabric.block([deaf.name], [heard.name])
        await asyncio.sleep(2)
        assert deaf.name not in heard.table.links


async def test_a_cut_in_one_direction_ends_the_link_at_both_ends():
    async with Cluster(regions=1) as cluster:
        deaf, heard = cluster.nodes["r0-d0-e0"], cluster.nodes["r0-d2-e1"]
        cluster.fabric.block([heard.name], [deaf.name])
        await asyncio.sleep(NOTICE_S)
        assert heard.name not in deaf.table.links
        assert deaf.name not in heard.table.links
        assert [member.entry_id for member in deaf.table.unlinked_members()] == [heard.name]
        cluster.fabric.heal()
        assert await wait_until(cluster.converged, NOTICE_S) <= LEASE_S


async def test_regions_find_each_other_after_an_hour_with_entries_replaced_meanwhile():
    async with Cluster(domains=1, entries=2) as cluster:
        names = list(cluster.nodes)
        cluster.fabric.cut(names[:2], names[2:])
        await asyncio.sleep(HOUR_S / 2)
        cluster.kill("r1-d0-e0")
        await cluster.start("r1", "r1-d0", "r1-d0-e9")
        await cluster.start("r0", "r0-d0", "r0-d0-e9")
        assert not cluster.nodes["r0-d0-e0"].table.remote_members()
        await asyncio.sleep(HOUR_S / 2)
        cluster.fabric.heal()
        assert await wait_until(cluster.converged, NOTICE_S) <= LEASE_S
        assert await settles(cluster, NOTICE_S)


@pytest.mark.parametrize("name", ["r0-d1-e1", "r0-d1-e9"], ids=["same name", "new name"])
async def test_an_entry_that_comes_back_at_the_same_address_is_a_new_one(name):
    async with Cluster() as cluster:
        old = cluster.kill("r0-d1-e1")
        await cluster.start("r0", "r0-d1", name, address="r0-d1-e1")
        assert await settles(cluster, NOTICE_S)
        for node in cluster.nodes.values():
            known = [m for m in node.service.registry.members() if m.peer_address == "r0-d1-e1"]
            assert old.member not in known


async def test_a_leaving_entry_is_given_nothing_new_and_then_forgotten():
    async with Cluster() as cluster:
        node = next(n for n in cluster.nodes.values() if len(n.table.streams()) > 1)
        await node.service.leave()
        await asyncio.sleep(1)
        del cluster.nodes[node.name]
        assert cluster.converged()
        await node.service.stop()
        assert await settles(cluster, LEASE_S)
        books = [n.service.registry for n in cluster.nodes.values()]
        assert await wait_until(lambda: not any(b.find(node.name) for b in books), 9) < NOTICE_S


async def test_updates_lost_in_a_short_cut_are_asked_for_anew():
    async with Cluster() as cluster:
        names = list(cluster.nodes)
        links = [*cluster.nodes["r0-d0-e0"].table.links.values()]
        cluster.fabric.cut(names[:12], names[12:])
        load = DomainLoad((ServiceLoad("draws", 2, 16, 5),), 3, 24, 0)
        for node in cluster.nodes.values():
            node.fake.load = {"r1-d1": load} if node.member.region == "r1" else {}
        await asyncio.sleep(LEASE_S / 2)
        cluster.fabric.heal()
        await asyncio.sleep(LEASE_S)
        assert [*cluster.nodes["r0-d0-e0"].table.links.values()] == links
        for node in list(cluster.nodes.values())[:12]:
            domains = node.table.domains.values()
            services = [domain.services for domain in domains if domain.services]
            assert services == [{"draws": load.services[0]}]


async def test_agents_of_a_failure_domain_without_entries_are_told_of_once():
    async with Cluster(domains=2, entries=2) as cluster:
        load = DomainLoad((ServiceLoad("draws", 1, 8, 8),), 1, 8, 0)
        for node in cluster.nodes.values():
            node.fake.load = {"elsewhere": load}
        await asyncio.sleep(LEASE_S)
        for node in cluster.nodes.values():
            services = [list(domain.services) for domain in node.table.domains.values()]
            assert sorted(services) == [[], ["draws"]]


async def test_log_states_tell_who_has_read_the_log():
    async with Cluster(regions=1, domains=2, entries=2) as cluster:
        reader, other = cluster.nodes["r0-d0-e0"], cluster.nodes["r0-d1-e1"]
        reader.fake.read_s, reader.fake.token = asyncio.get_running_loop().time(), 41
        await asyncio.sleep(2)
        states = {state.entry_id: state for state in other.table.log_states()}
        assert len(states) == 3
        assert 2 <= states[reader.name].read_age_s + 0.01 <= 2.1
        assert states[reader.name].highest_token == 41
        assert states["r0-d0-e1"].read_age_s is None
