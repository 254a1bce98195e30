"""Connections between entries over gRPC, with generic handlers instead of generated stubs."""

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
# The pings of the bandwidth probe would cause more traffic than the heartbeats.
COMMON_OPTIONS = (("grpc.http2.bdp_probe", 0),)
CHANNEL_OPTIONS = (
    *COMMON_OPTIONS,
    # Each channel needs its own connection: a shared one may be the one that has become silent.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
)
SERVER_OPTIONS = (*COMMON_OPTIONS, ("grpc.so_reuseport", 0))


class ClientPipe:
    """The client end of a gRPC stream."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self.channel = channel
        self.call = channel.stream_stream(f"/{SERVICE}/{METHOD}")()
        self.closed = False

    async def write(self, frame: bytes) -> bool:
        """Write one frame; return `False` if the stream is closed or has failed."""
        try:
            await self.call.write(frame)
        except (grpc.RpcError, asyncio.InvalidStateError):
            return False
        except asyncio.CancelledError:
            self._raise_unless_closed()
            return False
        return True

    async def read(self) -> bytes | None:
        """Wait for the next frame; return `None` after the last one."""
        try:
            frame = await self.call.read()
        except (grpc.RpcError, asyncio.InvalidStateError):
            return None
        except asyncio.CancelledError:
            self._raise_unless_closed()
            return None
        return None if frame is grpc.aio.EOF else frame

    async def close(self) -> None:
        """Close the stream and its channel."""
        self.closed = True
        self.call.cancel()
        await self.channel.close()

    def _raise_unless_closed(self) -> None:
        # gRPC raises CancelledError for a cancelled call, too, not only for a cancelled task.
        if not self.closed:
            raise


class ServerPipe:
    """The server end of a gRPC stream."""

    def __init__(self, context: grpc.aio.ServicerContext) -> None:
        self.context = context
        self.ended = asyncio.Event()
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue(QUEUE_FRAMES)

    async def write(self, frame: bytes) -> bool:
        """Write one frame; return `False` if the stream is closed or has failed."""
        if self.ended.is_set():
            return False
        try:
            await self.context.write(frame)
        except (grpc.RpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
            return False
        return True

    async def read(self) -> bytes | None:
        """Wait for the next frame; return `None` after the last one."""
        if self.ended.is_set() and self._frames.empty():
            return None
        return await self._frames.get()

    async def close(self) -> None:
        """Close the stream."""
        self.mark_ended()

    def mark_ended(self) -> None:
        """Mark the stream as ended, so that readers and the handler return."""
        self.ended.set()
        if not self._frames.full():
            self._frames.put_nowait(None)

    async def queue_frames(self, frames: AsyncIterator[bytes]) -> None:
        """Queue received frames until the stream ends."""
        try:
            async for frame in frames:
                await self._frames.put(frame)
        except grpc.RpcError:
            pass
        finally:
            self.mark_ended()


class GrpcPeerListener:
    """A listening gRPC server."""

    def __init__(self, server: grpc.aio.Server, address: str) -> None:
        self.server = server
        self.address = address

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        await self.server.stop(CLOSE_GRACE_S)


class GrpcPeerNetwork:
    """Opens and accepts connections between entries over gRPC."""

    async def connect(self, address: str) -> PeerConnection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""
        channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                ready = await _wait_ready(channel)
        except TimeoutError:
            ready = False
        if not ready:
            await channel.close()
            return Closed(f"can't connect to {address}")
        return FramedConnection(ClientPipe(channel))

    async def listen(
        self, address: str, serve: Callable[[PeerConnection], Awaitable[None]]
    ) -> GrpcPeerListener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""

        async def serve_stream(
            frames: AsyncIterator[bytes], context: grpc.aio.ServicerContext
        ) -> None:
            pipe = ServerPipe(context)
            queueing = asyncio.create_task(pipe.queue_frames(frames))
            serving = asyncio.create_task(serve(FramedConnection(pipe)))
            try:
                await pipe.ended.wait()
            finally:
                queueing.cancel()
                pipe.mark_ended()
                await asyncio.wait([serving])

        server = grpc.aio.server(options=SERVER_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(serve_stream)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        host = address.rpartition(":")[0]
        port = server.add_insecure_port(address)
        await server.start()
        return GrpcPeerListener(server, f"{host}:{port}")


async def _wait_ready(channel: grpc.aio.Channel) -> bool:
    """Wait until the channel is connected; return `False` after the first failed attempt."""
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            return False
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
    return True
