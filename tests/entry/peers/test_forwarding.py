"""Forwarded requests run at most once, and their outcome says whether they ran."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.requests import Answer
from briardeal_core.reasons import Reason, RunState
from briardeal_protocol.peers import DomainLoad, Forward, Forwarded, ServiceLoad
from tests.entry.peers.cluster import Cluster, request

pytestmark = pytest.mark.looptime

DUPLICATE_TTL_S = 600.0
BODY_LIMIT_BYTES = 16 * 1024 * 1024


def offer(cluster, domain, free_slots, service="draws"):
    for node in cluster.nodes.values():
        if node.member.region == domain[:2]:
            load = DomainLoad((ServiceLoad(service, 2, 16, free_slots),))
            node.fake.load = {**node.fake.load, domain: load}


def runs(cluster, key="k") -> int:
    return sum(node.fake.runs[key] for node in [*cluster.nodes.values(), *cluster.killed])


async def forward_to_home(cluster, source, home, incarnation=None, **fields):
    member = cluster.nodes[home].member if home in cluster.nodes else None
    incarnation = incarnation or member.incarnation
    forwarder = cluster.nodes[source].service.forwarder
    return await forwarder.forward_to_home(request(**fields), home, incarnation)


async def test_request_from_any_entry_is_answered_by_the_home_of_its_key():
    async with Cluster() as cluster:
        for source in cluster.nodes:
            if source != "r1-d2-e1":
                answer = await forward_to_home(cluster, source, "r1-d2-e1")
                assert answer == Answer(200, b"body", "text/plain")
        assert runs(cluster) == cluster.nodes["r1-d2-e1"].fake.runs["k"] == 1


async def test_largest_body_is_forwarded_without_closing_links():
    async with Cluster(domains=1, entries=2) as cluster:
        links = {n.name: dict(n.table.links) for n in cluster.nodes.values()}
        body = bytes(BODY_LIMIT_BYTES)
        answer = await forward_to_home(cluster, "r0-d0-e0", "r1-d0-e1", body=body)
        assert answer.body == body
        larger = await forward_to_home(cluster, "r0-d0-e0", "r1-d0-e1", body=body + bytes(2**21))
        assert (larger.reason, larger.run_state) == (Reason.ENTRY_UNREACHABLE, RunState.UNKNOWN)
        assert links == {n.name: n.table.links for n in cluster.nodes.values()}


async def test_lost_home_and_unreachable_home_have_different_reasons():
    async with Cluster() as cluster:
        incarnation = cluster.nodes["r0-d1-e1"].member.incarnation
        cluster.kill("r0-d1-e1")
        await asyncio.sleep(6)
        away = await forward_to_home(cluster, "r0-d0-e0", "r0-d1-e1", incarnation)
        assert (away.reason, away.run_state) == (Reason.ENTRY_UNREACHABLE, RunState.UNKNOWN)
        assert away.retry_after_s is not None
        await cluster.start("r0", "r0-d1", "r0-d1-e9", address="r0-d1-e1")
        await asyncio.sleep(6)
        lost = await forward_to_home(cluster, "r0-d0-e0", "r0-d1-e1", incarnation)
        assert (lost.reason, lost.run_state) == (Reason.KEY_HOME_LOST, RunState.UNKNOWN)


async def test_request_is_forwarded_to_the_least_loaded_remote_failure_domain():
    async with Cluster() as cluster:
        offer(cluster, "r1-d1", free_slots=2)
        offer(cluster, "r1-d3", free_slots=15)
        await asyncio.sleep(3)
        for source in ("r0-d0-e0", "r0-d0-e1", "r0-d0-e2"):
            forwarder = cluster.nodes[source].service.forwarder
            assert isinstance(await forwarder.forward_to_other_region(request(key=source)), Answer)
        ran = [node.name for node in cluster.nodes.values() if node.fake.runs]
        assert {name[:5] for name in ran} == {"r1-d3"}
        assert await forwarder.forward_to_other_region(request(service="bookings")) is None


@pytest.mark.parametrize("source", ["r0-d0-e0", "r0-d0-e1", "r0-d0-e2"])
async def test_lost_answer_is_unknown_and_the_request_is_not_run_again(source):
    async with Cluster(domains=1) as cluster:
        offer(cluster, "r1-d0", free_slots=9)
        for node in cluster.nodes.values():
            node.fake.delay_s = 2
        await asyncio.sleep(3)
        forwarder = cluster.nodes[source].service.forwarder
        calling = asyncio.create_task(forwarder.forward_to_other_region(request(timeout_s=20)))
        await asyncio.sleep(1)
        names = list(cluster.nodes)
        cluster.fabric.block(names[3:], names[:3])
        outcome = await calling
        assert (outcome.reason, outcome.run_state) == (Reason.FORWARD_LOST, RunState.UNKNOWN)
        assert runs(cluster) == 1


async def test_deadline_passed_after_sending_is_unknown():
    async with Cluster(regions=1, domains=1) as cluster:
        cluster.nodes["r0-d0-e1"].fake.delay_s = 4
        late = await forward_to_home(cluster, "r0-d0-e0", "r0-d0-e1", timeout_s=1)
        assert (late.reason, late.run_state) == (Reason.DEADLINE_PASSED, RunState.UNKNOWN)
        again = await forward_to_home(cluster, "r0-d0-e0", "r0-d0-e1", timeout_s=5)
        assert isinstance(again, Answer)
        assert runs(cluster) == 1


async def test_duplicated_forward_runs_once():
    async with Cluster() as cluster:
        offer(cluster, "r1-d1", free_slots=9)
        await asyncio.sleep(3)
        cluster.fabric.duplicated |= {(a, b) for a in cluster.nodes for b in cluster.nodes}
        for index, source in enumerate(cluster.nodes):
            if source.startswith("r0"):
                forwarder = cluster.nodes[source].service.forwarder
                large = request(key=f"k{index}", body=bytes(100_000))
                assert isinstance(await forwarder.forward_to_other_region(large), Answer)
                assert runs(cluster, f"k{index}") == 1


async def test_leaving_entry_finishes_pending_forwards():
    async with Cluster() as cluster:
        home = cluster.nodes["r1-d2-e1"]
        home.fake.delay_s = 10
        calling = asyncio.create_task(forward_to_home(cluster, "r0-d0-e0", home.name, timeout_s=30))
        await asyncio.sleep(1)
        await home.service.leave()
        await home.service.stop()
        assert isinstance(await calling, Answer)


async def test_late_duplicate_is_not_run_and_its_record_expires():
    async with Cluster(regions=1, domains=1) as cluster:
        home = cluster.nodes["r0-d0-e0"]
        fields = ("r0-d0-e1", 1, 1, "", "r0", "r0-d0", 3, 5.0, "draws", "", "text/plain", False)
        forward = Forward(7, *fields, "k", b"body")
        assert await home.service.forwarder.handle_forward(forward) == Forwarded(
            7, 200, "text/plain", b"body"
        )
        late = await home.service.forwarder.handle_forward(forward)
        assert (late.reason, late.run_state) == ("forward_lost", "unknown")
        assert runs(cluster) == 1
        await asyncio.sleep(DUPLICATE_TTL_S + 1)
        assert not home.service.forwarder.ended
