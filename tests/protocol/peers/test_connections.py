"""Messages between entries arrive complete and in order, over gRPC and in memory."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_protocol.connections import Closed
from briardeal_protocol.peers import (
    ConfigurationOffer,
    Forwarded,
    Fragment,
    FramedConnection,
    GrpcPeerNetwork,
    MemoryPeerFabric,
    Resync,
    encode,
)

BODY_LIMIT_BYTES = 16 * 1024 * 1024


async def echo(connection):
    while not isinstance(message := await connection.receive(), Closed):
        await connection.send(message)
    await connection.close()


def make_network(kind):
    return GrpcPeerNetwork() if kind == "grpc" else MemoryPeerFabric().network_at("127.0.0.1:0")


@pytest.mark.parametrize("kind", ["memory", "grpc"])
async def test_small_message_overtakes_large_one_which_arrives_complete(kind):
    peers = make_network(kind)
    listener = await peers.listen("127.0.0.1:0", echo)
    connection = await peers.connect(listener.address)
    large = Forwarded(1, 200, "text/plain", bytes(BODY_LIMIT_BYTES))
    sending = asyncio.create_task(connection.send(large))
    await asyncio.sleep(0)
    await connection.send(Resync())
    received = [await connection.receive(), await connection.receive()]
    assert await sending is None
    assert received == [Resync(), large]
    assert connection.bytes_received == connection.bytes_sent > BODY_LIMIT_BYTES
    await connection.close()
    assert isinstance(await connection.send(large), Closed)
    await listener.close()


@pytest.mark.parametrize("kind", ["memory", "grpc"])
async def test_closing_a_connection_notifies_the_remote_end(kind):
    peers = make_network(kind)
    ended = []

    async def serve(connection):
        await connection.receive()
        ended.append(await connection.receive())

    listener = await peers.listen("127.0.0.1:0", serve)
    connection = await peers.connect(listener.address)
    await connection.send(Resync())
    await asyncio.sleep(0.1)
    await connection.close()
    while not ended:
        await asyncio.sleep(0.01)
    assert isinstance(ended[0], Closed)
    await listener.close()


async def test_server_closing_a_connection_closes_it_for_the_client():
    peers = GrpcPeerNetwork()

    async def serve(connection):
        await connection.receive()
        await connection.close()

    listener = await peers.listen("127.0.0.1:0", serve)
    connection = await peers.connect(listener.address)
    await connection.send(Resync())
    assert isinstance(await connection.receive(), Closed)
    await connection.close()
    await listener.close()


async def test_each_grpc_connection_has_its_own_socket():
    peers = GrpcPeerNetwork()
    callers = []

    async def serve(connection):
        callers.append(connection.pipe.context.peer())
        await connection.receive()

    listener = await peers.listen("127.0.0.1:0", serve)
    connections = [await peers.connect(listener.address) for _ in range(2)]
    for connection in connections:
        await connection.send(Resync())
    while len(callers) < 2:
        await asyncio.sleep(0.01)
    assert len(set(callers)) == 2
    for connection in connections:
        await connection.close()
    await listener.close()


async def test_connecting_to_a_closed_port_fails():
    assert isinstance(await GrpcPeerNetwork().connect("127.0.0.1:1"), Closed)


class FixedFrames:
    """A pipe from which the given frames are read."""

    def __init__(self, *frames):
        self.frames = [*frames, None]

    async def read(self):
        return self.frames.pop(0)


async def test_large_message_with_missing_fragment_is_dropped():
    data = encode(ConfigurationOffer(1, b"0123456789"))
    parts = [Fragment(1, 0, False, data[:4]), Fragment(1, 1, False, data[4:8])]
    last = Fragment(1, 2, True, data[8:])
    unknown = b"\x92\x63\x00"
    complete = FramedConnection(FixedFrames(*map(encode, [*parts, last])))
    assert await complete.receive() == ConfigurationOffer(1, b"0123456789")
    incomplete = FramedConnection(
        FixedFrames(encode(parts[0]), encode(last), unknown, encode(Resync()))
    )
    assert await incomplete.receive() == Resync()
