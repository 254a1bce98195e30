"""A message to a peer that reads nothing is sent without waiting, and only up to a limit."""

from __future__ import annotations

import asyncio

import attrs

from briardeal_protocol.connections import Closed, TcpNetwork

MESSAGE_BYTES = 65_536
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""More than the kernel and the connection buffer together."""


@attrs.frozen
class Codec:
    """Codec of messages that all look the same."""

    def encode(self, _message):
        return b"x" * MESSAGE_BYTES

    def decode(self, line):
        return line


async def test_connection_to_a_peer_that_reads_nothing_is_closed_instead_of_waiting():
    # Guards against an order to one VM that holds up the orders to all others.
    accepted = asyncio.Queue()
    network = TcpNetwork(Codec())

    async def hold(connection):
        connection.reader._transport.pause_reading()
        await accepted.put(connection)
        await asyncio.Event().wait()

    listener = await network.listen("127.0.0.1:0", hold)
    connection = await network.connect(listener.address)
    peer = await accepted.get()
    for _ in range(MAX_BUFFERED_BYTES // MESSAGE_BYTES):
        outcome = connection.post("order")
        if outcome is not None:
            break
        await asyncio.sleep(0)
    assert outcome == Closed("the peer reads too slowly")
    assert isinstance(connection.post("order"), Closed)
    assert isinstance(await connection.receive(), Closed)
    await peer.close()
    await listener.close()
