"""Connections between entries over gRPC, by generic handlers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from briardeal_protocol.connections import Closed
from briardeal_protocol.peers._framing import FramedConnection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from briardeal_protocol.peers._connection import PeerConnection

SERVICE = "briardeal.Peers"
METHOD = "Connect"
CONNECT_TIMEOUT_S = 2.0
QUEUE_FRAMES = 16
CLOSE_GRACE_S = 0.0
# Pings that measure the bandwidth would cost more than the heartbeats do.
COMMON_OPTIONS = (("grpc.http2.bdp_probe", 0),)
CHANNEL_OPTIONS = (
    *COMMON_OPTIONS,
    # Each channel needs a connection of its own: a shared one may be the one that went silent.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
)
SERVER_OPTIONS = (*COMMON_OPTIONS, ("grpc.so_reuseport", 0))


class ClientPipe:
    """The dialing end of a stream."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self.channel = channel
        self.call = channel.stream_stream(f"/{SERVICE}/{METHOD}")()
        self.closed = False

    async def write(self, frame: bytes) -> bool:
        """Write one byte string; return whether the stream still holds."""
        try:
            await self.call.write(frame)
        except (grpc.RpcError, asyncio.InvalidStateError):
            return False
        except asyncio.CancelledError:
            self._raise_unless_closed()
            return False
        return True

    async def read(self) -> bytes | None:
        """Wait for the next byte string; `None` at the end."""
        try:
            frame = await self.call.read()
        except (grpc.RpcError, asyncio.InvalidStateError):
            return None
        except asyncio.CancelledError:
            self._raise_unless_closed()
            return None
        return None if frame is grpc.aio.EOF else frame

    async def close(self) -> None:
        """End the stream and its channel."""
        self.closed = True
        self.call.cancel()
        await self.channel.close()

    def _raise_unless_closed(self) -> None:
        # The library raises the same error for a cancelled call as for a cancelled task.
        if not self.closed:
            raise


class ServerPipe:
    """The accepting end of a stream."""

    def __init__(self, context: grpc.aio.ServicerContext) -> None:
        self.context = context
        self.ended = asyncio.Event()
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue(QUEUE_FRAMES)

    async def write(self, frame: bytes) -> bool:
        """Write one byte string; return whether the stream still holds."""
        if self.ended.is_set():
            return False
        try:
            await self.context.write(frame)
        except (grpc.RpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
            return False
        return True

    async def read(self) -> bytes | None:
        """Wait for the next byte string; `None` at the end."""
        if self.ended.is_set() and self._frames.empty():
            return None
        return await self._frames.get()

    async def close(self) -> None:
        """End the stream."""
        self.finish()

    def finish(self) -> None:
        """Let readers and the handler come to an end."""
        self.ended.set()
        if not self._frames.full():
            self._frames.put_nowait(None)

    async def pump(self, frames: AsyncIterator[bytes]) -> None:
        """Queue what arrives until the stream ends."""
        try:
            async for frame in frames:
                await self._frames.put(frame)
        except grpc.RpcError:
            pass
        finally:
            self.finish()


class GrpcPeerListener:
    """A listening gRPC server."""

    def __init__(self, server: grpc.aio.Server, address: str) -> None:
        self.server = server
        self.address = address

    async def close(self) -> None:
        """Take no more connections and end those that are open."""
        await self.server.stop(CLOSE_GRACE_S)


class GrpcPeerNetwork:
    """Connections over gRPC."""

    async def connect(self, address: str) -> PeerConnection | Closed:
        """Open a connection to an address."""
        channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                ready = await _wait_ready(channel)
        except TimeoutError:
            ready = False
        if not ready:
            await channel.close()
            return Closed(f"{address} does not answer")
        return FramedConnection(ClientPipe(channel))

    async def listen(
        self, address: str, serve: Callable[[PeerConnection], Awaitable[None]]
    ) -> GrpcPeerListener:
        """Run `serve` in a task of its own for each connection to an address."""

        async def connect(frames: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
            pipe = ServerPipe(context)
            pumping = asyncio.create_task(pipe.pump(frames))
            serving = asyncio.create_task(serve(FramedConnection(pipe)))
            try:
                await pipe.ended.wait()
            finally:
                pumping.cancel()
                pipe.finish()
                await asyncio.wait([serving])

        server = grpc.aio.server(options=SERVER_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(connect)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        host = address.rpartition(":")[0]
        port = server.add_insecure_port(address)
        await server.start()
        return GrpcPeerListener(server, f"{host}:{port}")


async def _wait_ready(channel: grpc.aio.Channel) -> bool:
    """Wait for the connection; return `False` as soon as an attempt has failed."""
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            return False
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
    return True
