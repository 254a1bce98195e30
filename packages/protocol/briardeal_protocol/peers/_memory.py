"""Connections between entries within one process, with fault injection for tests."""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from typing import TYPE_CHECKING

from briardeal_protocol.connections import Closed
from briardeal_protocol.peers._framing import FramedConnection

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.peers._connection import PeerConnection

CONNECT_TIMEOUT_S = 2.0


class MemoryPipe:
    """One end of a pipe within the process.

    Parameters
    ----------
    fabric
        Network that the pipe belongs to.
    source, target
        Addresses of this end and of the remote end.

    Attributes
    ----------
    remote
        The other end.
    silent
        Whether frames from this end are dropped while both ends stay open.
    ended
        Whether this end is closed.
    """

    def __init__(self, fabric: MemoryPeerFabric, source: str, target: str) -> None:
        self.fabric = fabric
        self.source = source
        self.target = target
        self.remote: MemoryPipe = self
        self.silent = False
        self.ended = False
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._in_transit: deque[Callable[[], None]] = deque()

    async def write(self, frame: bytes) -> bool:
        """Write one frame, which arrives after the latency between the two addresses."""
        if self.ended:
            return False
        if not self._drops_frames():
            self._deliver(self.remote._receive_frame, frame)
            if (self.source, self.target) in self.fabric.duplicated:
                self._deliver(self.remote._receive_frame, frame)
        await asyncio.sleep(0)
        return True

    async def read(self) -> bytes | None:
        """Wait for the next frame; return `None` after the last one."""
        return None if self.ended and self._frames.empty() else await self._frames.get()

    async def close(self) -> None:
        """Close the pipe; the remote end is notified unless frames from this end are dropped."""
        self._mark_ended()
        if not self._drops_frames():
            self._deliver(self.remote._mark_ended)

    def _drops_frames(self) -> bool:
        return self.silent or (self.source, self.target) in self.fabric.blocked

    def _deliver(self, receiver: Callable[..., None], *arguments: bytes) -> None:
        delay_s = self.fabric.delays.get((self.source, self.target), self.fabric.latency_s)
        self._in_transit.append(functools.partial(receiver, *arguments))
        asyncio.get_running_loop().call_later(delay_s, self._run_next_delivery)

    def _run_next_delivery(self) -> None:
        # Timers due at the same time fire in any order; the queue keeps frames in order.
        self._in_transit.popleft()()

    def _receive_frame(self, frame: bytes) -> None:
        if not self.ended:
            self._frames.put_nowait(frame)

    def _mark_ended(self) -> None:
        self.ended = True
        self._frames.put_nowait(None)


class MemoryPeerFabric:
    """A network that connects all entries within one process.

    Parameters
    ----------
    latency_s
        Default one-way latency, in seconds.

    Attributes
    ----------
    listeners
        Function that serves the connections to each listening address.
    blocked
        Pairs of source and target address between which all frames are dropped.
    delays
        One-way latency by source and target address, in seconds; overrides the default.
    duplicated
        Pairs of source and target address between which every frame is delivered twice.
    pipes
        Both ends of every pipe opened so far, the connecting end first.
    tasks
        Running tasks that serve connections.
    """

    def __init__(self, latency_s: float = 0.0005) -> None:
        self.latency_s = latency_s
        self.listeners: dict[str, Callable[[PeerConnection], Awaitable[None]]] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.delays: dict[tuple[str, str], float] = {}
        self.duplicated: set[tuple[str, str]] = set()
        self.pipes: list[MemoryPipe] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def network_at(self, address: str) -> MemoryPeerNetwork:
        """Return the interface to this network for the entry at an address."""
        return MemoryPeerNetwork(self, address)

    def block(self, sources: list[str], targets: list[str]) -> None:
        """Drop all frames from some addresses to others; new connections fail as well."""
        self.blocked |= {(source, target) for source in sources for target in targets}

    def cut(self, left: list[str], right: list[str]) -> None:
        """Block both directions between two groups of addresses."""
        self.block(left, right)
        self.block(right, left)

    def heal(self) -> None:
        """Remove every block; pipes that are still open work again."""
        self.blocked.clear()

    def silence(self, source: str, target: str) -> None:
        """Drop frames silently in one direction of the open pipes; new pipes work."""
        for pipe in self.pipes:
            if (pipe.source, pipe.target) == (source, target):
                pipe.silent = True

    def kill(self, address: str) -> None:
        """Remove an address without notice to its peers; a new listener may reuse it."""
        self.listeners.pop(address, None)
        for pipe in self.pipes:
            if address in (pipe.source, pipe.target):
                pipe.silent = True

    def open_pipes(self) -> list[MemoryPipe]:
        """Return the connecting ends of the pipes that are open at both ends."""
        return [p for p in self.pipes[::2] if not (p.ended or p.remote.ended or p.silent)]


class MemoryPeerNetwork:
    """The interface of one entry to the network within the process.

    Parameters
    ----------
    fabric
        Network that connects all entries.
    address
        Address of the entry.
    """

    def __init__(self, fabric: MemoryPeerFabric, address: str) -> None:
        self.fabric = fabric
        self.address = address

    async def connect(self, address: str) -> PeerConnection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""
        outbound, inbound = (self.address, address), (address, self.address)
        delays = self.fabric.delays
        await asyncio.sleep(
            sum(delays.get(pair, self.fabric.latency_s) for pair in (outbound, inbound))
        )
        if outbound in self.fabric.blocked or inbound in self.fabric.blocked:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return Closed(f"can't connect to {address}")
        serve = self.fabric.listeners.get(address)
        if serve is None:
            return Closed(f"nothing listens on {address}")
        client = MemoryPipe(self.fabric, self.address, address)
        server = MemoryPipe(self.fabric, address, self.address)
        client.remote, server.remote = server, client
        self.fabric.pipes += [client, server]
        task = asyncio.get_running_loop().create_task(serve(FramedConnection(server)))
        self.fabric.tasks.add(task)
        task.add_done_callback(self.fabric.tasks.discard)
        return FramedConnection(client)

    async def listen(
        self, address: str, serve: Callable[[PeerConnection], Awaitable[None]]
    ) -> MemoryPeerListener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""
        self.fabric.listeners[address] = serve
        return MemoryPeerListener(self.fabric, address, serve)


class MemoryPeerListener:
    """A listening address within the process."""

    def __init__(
        self,
        fabric: MemoryPeerFabric,
        address: str,
        serve: Callable[[PeerConnection], Awaitable[None]],
    ) -> None:
        self.fabric = fabric
        self.address = address
        self.serve = serve

    async def close(self) -> None:
        """Stop accepting connections."""
        if self.fabric.listeners.get(self.address) is self.serve:
            del self.fabric.listeners[self.address]
