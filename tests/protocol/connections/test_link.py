"""Answers find their calls and no call outlives its connection."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_protocol.connections import Closed, Link, MemoryNetwork, TcpNetwork, TimedOut
from briardeal_protocol.messages import Admit, Admitted, Heartbeat

pytestmark = pytest.mark.looptime


async def echo(connection):
    held = []
    while not isinstance(message := await connection.receive(), Closed):
        held.append(message.call_id)
        if len(held) == 2:
            for call_id in reversed(held):
                await connection.send(Admitted(call_id=call_id, start_within_s=call_id))
            await connection.send(Heartbeat(sequence=1))


def admit(link: Link) -> Admit:
    return Admit(call_id=link.next_call_id(), key="", incarnation=1, deadline_s=1)


@pytest.mark.parametrize("network", [MemoryNetwork(), TcpNetwork()], ids=["memory", "tcp"])
async def test_answers_out_of_order_reach_their_calls(network):
    listener = await network.listen("127.0.0.1:0", echo)
    link = Link(await network.connect(listener.address))
    other = []

    async def handle(message):
        other.append(message)

    reading = asyncio.create_task(link.run(handle))
    answers = await asyncio.gather(*(link.call(admit(link), 5) for _ in range(2)))
    assert [answer.start_within_s for answer in answers] == [1, 2]
    while not other:
        await asyncio.sleep(0)
    assert other == [Heartbeat(sequence=1)]
    await link.connection.close()
    await listener.close()
    reading.cancel()


async def test_a_call_on_a_silent_connection_times_out():
    network = MemoryNetwork()
    await network.listen("a:1", echo)
    link = Link(await network.connect("a:1"))
    network.silence("a:1")
    assert await link.call(admit(link), 5) == TimedOut()


async def test_a_lost_connection_ends_its_calls():
    network = MemoryNetwork()
    await network.listen("a:1", echo)
    link = Link(await network.connect("a:1"))
    reading = asyncio.create_task(link.run(print))
    calling = asyncio.create_task(link.call(admit(link), 5))
    await asyncio.sleep(0.1)
    network.cut("a:1")
    assert isinstance(await calling, Closed)
    assert isinstance(await reading, Closed)
