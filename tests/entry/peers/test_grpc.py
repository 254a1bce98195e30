"""Entries find each other and forward requests over gRPC."""

from __future__ import annotations

import asyncio
import socket

import pytest

from briardeal.peers import PeerHooks, PeerService
from briardeal.requests import Answer
from briardeal_protocol.peers import GrpcPeerNetwork, Member
from tests.entry.peers.cluster import FakeEntry, request

PLACES = [("r0", "a"), ("r0", "b"), ("r1", "c")]


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def create(region, name, address, seed):
    member = Member(name, 1, region, region, address, f"{name}:agents")
    fake = FakeEntry()
    hooks = PeerHooks(fake, fake, fake, fake, fake.set_entries)
    return fake, PeerService(member, GrpcPeerNetwork(), (seed,), hooks)


@pytest.fixture
async def entries():
    seed = free_address()
    addresses = [seed, free_address(), free_address()]
    made = [create(*place, address, seed) for place, address in zip(PLACES, addresses, strict=True)]
    for _, service in made:
        await service.start()
    while any(len(service.table.live_entries()) < len(made) for _, service in made):
        await asyncio.sleep(0.05)
    yield made
    for _, service in made:
        await service.stop()


async def test_forwards_and_configuration_are_sent_over_grpc(entries):
    (first, one), (_, two), (third, three) = entries
    first.configuration = (3, b"three")
    answer = await two.forwarder.forward_to_home(request(timeout_s=60, body=bytes(10**6)), "c", 1)
    assert answer == Answer(200, bytes(10**6), "text/plain")
    while third.configuration != (3, b"three"):
        await asyncio.sleep(0.05)
    assert first.entries == ("a:agents", "b:agents")
    await three.leave()
    await three.stop()
    while one.registry.find("c") or two.registry.find("c"):
        await asyncio.sleep(0.05)
