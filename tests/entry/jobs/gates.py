"""Ways of a process to the outside that close when it is paused or dead."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_agent.workers import WorkerUnavailable
from briardeal_core.log import LogUnavailable
from briardeal_protocol.connections import Closed, MemoryNetwork
from briardeal_standins.log import Faults, LogStore, MemoryLog

if TYPE_CHECKING:
    from briardeal_standins.worker import StandinWorker


class Gate:
    """Whether a process runs, is paused or is dead."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.dead = False


class GatedLog:
    """A process's way to the log."""

    def __init__(self, store: LogStore, gate: Gate) -> None:
        self.gate = gate
        self.faults = Faults()
        self.inner = MemoryLog(store, self.faults)

    async def append(self, stream, record, append_id):
        await self.gate.open.wait()
        if self.gate.dead:
            return LogUnavailable("dead")
        return await self._answer(await self.inner.append(stream, record, append_id))

    async def read(self, stream, offset, limit, wait_s=0.0):
        await self.gate.open.wait()
        if self.gate.dead:
            return LogUnavailable("dead")
        return await self._answer(await self.inner.read(stream, offset, limit, wait_s))

    async def _answer(self, outcome):
        await self.gate.open.wait()
        return LogUnavailable("dead") if self.gate.dead else outcome


class GatedConnection:
    """One end of a connection; what a paused process sends and gets waits for its return."""

    def __init__(self, inner, gate: Gate) -> None:
        self.inner = inner
        self.gate = gate
        self.held: list = []

    async def send(self, message):
        if self.gate.open.is_set():
            return await self.inner.send(message)
        if not self.held:
            asyncio.get_running_loop().create_task(self._release())
        self.held.append(message)
        return None

    async def receive(self):
        message = await self.inner.receive()
        await self.gate.open.wait()
        return Closed("dead") if self.gate.dead else message

    async def close(self):
        await self.inner.close()

    async def _release(self):
        await self.gate.open.wait()
        for message in self.held if not self.gate.dead else ():
            await self.inner.send(message)
        self.held = []


class GatedNetwork:
    """A process's way to the network."""

    def __init__(self, inner: MemoryNetwork, gate: Gate) -> None:
        self.inner = inner
        self.gate = gate
        self.blocked: set[str] = set()
        self.opened: list = []

    async def connect(self, address):
        if self.gate.dead or address in self.blocked:
            return Closed("blocked")
        connection = await self.inner.connect(address)
        if isinstance(connection, Closed):
            return connection
        self.opened.append(connection)
        return GatedConnection(connection, self.gate)

    async def listen(self, address, serve):
        async def serve_gated(connection):
            self.opened.append(connection)
            await serve(GatedConnection(connection, self.gate))

        return await self.inner.listen(address, serve_gated)

    def cut(self, address: str) -> None:
        """Let all traffic to an address vanish."""
        self.blocked.add(address)
        for connection in self.opened:
            if connection.address == address:
                connection.silent = connection.remote.silent = True

    def heal(self, address: str) -> None:
        """Let new connections to an address work again."""
        self.blocked.discard(address)

    def kill(self) -> None:
        """End all connections of a dead process."""
        for connection in self.opened:
            connection._mark_closed()
            connection.remote._mark_closed()


class GatedWorker:
    """A process's way to the platform on its worker."""

    def __init__(self, inner: StandinWorker, gate: Gate) -> None:
        self.inner = inner
        self.gate = gate

    def __getattr__(self, name):
        async def call(*arguments):
            await self.gate.open.wait()
            if self.gate.dead:
                return WorkerUnavailable("dead")
            return await getattr(self.inner, name)(*arguments)

        return call
