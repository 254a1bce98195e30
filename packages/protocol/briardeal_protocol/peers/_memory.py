"""Connections between entries within one process, with faults to order."""

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

    Attributes
    ----------
    other
        The other end.
    silent
        Whether what this end writes vanishes while both ends stay open.
    """

    def __init__(self, fabric: MemoryPeerFabric, source: str, target: str) -> None:
        self.fabric = fabric
        self.source = source
        self.target = target
        self.other: MemoryPipe = self
        self.silent = False
        self.ended = False
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._transit: deque[Callable[[], None]] = deque()

    async def write(self, frame: bytes) -> bool:
        """Write one byte string; it arrives after the latency between the two addresses."""
        if self.ended:
            return False
        if not self._vanishes():
            self._deliver(self.other._take, frame)
            if (self.source, self.target) in self.fabric.duplicated:
                self._deliver(self.other._take, frame)
        await asyncio.sleep(0)
        return True

    async def read(self) -> bytes | None:
        """Wait for the next byte string; `None` at the end."""
        return None if self.ended and self._frames.empty() else await self._frames.get()

    async def close(self) -> None:
        """End the pipe; the other end learns of it unless this one is silent."""
        self._end()
        if not self._vanishes():
            self._deliver(self.other._end)

    def _vanishes(self) -> bool:
        return self.silent or (self.source, self.target) in self.fabric.blocked

    def _deliver(self, take: Callable[..., None], *arguments: bytes) -> None:
        delay_s = self.fabric.delays.get((self.source, self.target), self.fabric.latency_s)
        self._transit.append(functools.partial(take, *arguments))
        asyncio.get_running_loop().call_later(delay_s, self._arrive)

    def _arrive(self) -> None:
        # Timers that are due at the same time fire in any order.
        self._transit.popleft()()

    def _take(self, frame: bytes) -> None:
        if not self.ended:
            self._frames.put_nowait(frame)

    def _end(self) -> None:
        self.ended = True
        self._frames.put_nowait(None)


class MemoryPeerFabric:
    """The network of all entries within one process.

    Parameters
    ----------
    latency_s
        One-way latency where no other is set, in seconds.

    Attributes
    ----------
    blocked
        Pairs of source and target address between which everything vanishes.
    delays
        One-way latency by source and target address, in seconds.
    duplicated
        Pairs of source and target address between which everything arrives twice.
    pipes
        Both ends of every pipe opened so far.
    """

    def __init__(self, latency_s: float = 0.0005) -> None:
        self.latency_s = latency_s
        self.listeners: dict[str, Callable[[PeerConnection], Awaitable[None]]] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.delays: dict[tuple[str, str], float] = {}
        self.duplicated: set[tuple[str, str]] = set()
        self.pipes: list[MemoryPipe] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def at(self, address: str) -> MemoryPeerNetwork:
        """Return the network as the entry at an address sees it."""
        return MemoryPeerNetwork(self, address)

    def block(self, sources: list[str], targets: list[str]) -> None:
        """Let everything from some addresses to others vanish, new connections too."""
        self.blocked |= {(source, target) for source in sources for target in targets}

    def cut(self, left: list[str], right: list[str]) -> None:
        """Block both directions between two groups of addresses."""
        self.block(left, right)
        self.block(right, left)

    def heal(self) -> None:
        """Lift every block; what was open while it lasted stays open."""
        self.blocked.clear()

    def silence(self, source: str, target: str) -> None:
        """Let open connections go silent in one direction, while new ones work."""
        for pipe in self.pipes:
            if (pipe.source, pipe.target) == (source, target):
                pipe.silent = True

    def kill(self, address: str) -> None:
        """Let an address vanish without a word; a new listener may take its place."""
        self.listeners.pop(address, None)
        for pipe in self.pipes:
            if address in (pipe.source, pipe.target):
                pipe.silent = True

    def open_pipes(self) -> list[MemoryPipe]:
        """Return the dialing ends of the pipes that are open at both ends."""
        return [p for p in self.pipes[::2] if not (p.ended or p.other.ended or p.silent)]


class MemoryPeerNetwork:
    """The network of a process as one address sees it.

    Parameters
    ----------
    fabric
        The network of all.
    address
        Address of the entry.
    """

    def __init__(self, fabric: MemoryPeerFabric, address: str) -> None:
        self.fabric = fabric
        self.address = address

    async def connect(self, address: str) -> PeerConnection | Closed:
        """Open a connection to an address."""
        there, back = (self.address, address), (address, self.address)
        delays = self.fabric.delays
        await asyncio.sleep(sum(delays.get(way, self.fabric.latency_s) for way in (there, back)))
        if there in self.fabric.blocked or back in self.fabric.blocked:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return Closed(f"{address} does not answer")
        serve = self.fabric.listeners.get(address)
        if serve is None:
            return Closed(f"{address} can't be reached")
        near = MemoryPipe(self.fabric, self.address, address)
        far = MemoryPipe(self.fabric, address, self.address)
        near.other, far.other = far, near
        self.fabric.pipes += [near, far]
        task = asyncio.get_running_loop().create_task(serve(FramedConnection(far)))
        self.fabric.tasks.add(task)
        task.add_done_callback(self.fabric.tasks.discard)
        return FramedConnection(near)

    async def listen(
        self, address: str, serve: Callable[[PeerConnection], Awaitable[None]]
    ) -> MemoryPeerListener:
        """Run `serve` in a task of its own for each connection to an address."""
        self.fabric.listeners[address] = serve
        return MemoryPeerListener(self.fabric, address, serve)


class MemoryPeerListener:
    """An address within the process."""

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
        """Take no more connections."""
        if self.fabric.listeners.get(self.address) is self.serve:
            del self.fabric.listeners[self.address]
