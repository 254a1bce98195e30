"""Ways of a process to the outside that close when it is paused or dead."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_agent.workers import WorkerDown
from briardeal_core.log import LogUnavailable
from briardeal_protocol.connections import Closed, MemoryNetwork
from briardeal_standins.log import Faults, LogStore, MemoryLog

if TYPE_CHECKING:
    from briardeal_standins.worker import StandinWorker


class ProcessState:
    """Whether a process runs, is paused or is dead."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.killed = False


class PausableLog:
    """A process's way to the log."""

    def __init__(self, store: LogStore, process_state: ProcessState) -> None:
        self.process_state = process_state
        self.faults = Faults()
        self.inner = MemoryLog(store, self.faults)

    async def append(self, stream, record, append_id):
        await self.process_state.running.wait()
        if self.process_state.killed:
            return LogUnavailable("dead")
        return await self._answer(await self.inner.append(stream, record, append_id))

    async def read(self, stream, offset, limit, wait_s=0.0):
        await self.process_state.running.wait()
        if self.process_state.killed:
            return LogUnavailable("dead")
        return await self._answer(await self.inner.read(stream, offset, limit, wait_s))

    async def _answer(self, outcome):
        await self.process_state.running.wait()
        return LogUnavailable("dead") if self.process_state.killed else outcome


class PausableConnection:
    """One end of a connection; what a paused process sends and gets waits for its return."""

    def __init__(self, inner, process_state: ProcessState) -> None:
        self.inner = inner
        self.process_state = process_state
        self.held: list = []

    async def send(self, message):
        if self.process_state.running.is_set():
            return await self.inner.send(message)
        if not self.held:
            asyncio.get_running_loop().create_task(self._release())
        self.held.append(message)
        return None

    async def receive(self):
        message = await self.inner.receive()
        await self.process_state.running.wait()
        return Closed("dead") if self.process_state.killed else message

    async def close(self):
        await self.inner.close()

    async def _release(self):
        await self.process_state.running.wait()
        for message in self.held if not self.process_state.killed else ():
            await self.inner.send(message)
        self.held = []


class PausableNetwork:
    """A process's way to the network."""

    def __init__(self, inner: MemoryNetwork, process_state: ProcessState) -> None:
        self.inner = inner
        self.process_state = process_state
        self.blocked: set[str] = set()
        self.opened: list = []

    async def connect(self, address):
        if self.process_state.killed or address in self.blocked:
            return Closed("blocked")
        connection = await self.inner.connect(address)
        if isinstance(connection, Closed):
            return connection
        self.opened.append(connection)
        return PausableConnection(connection, self.process_state)

    async def listen(self, address, serve):
        async def serve_pausable(connection):
            self.opened.append(connection)
            await serve(PausableConnection(connection, self.process_state))

        return await self.inner.listen(address, serve_pausable)

    def cut(self, address: str) -> None:
        """Let all traffic to an address vanish."""
        self.blocked.add(address)
        for connection in self.opened:
            if connection.address == address:
                connection.silent = connection.other.silent = True

    def heal(self, address: str) -> None:
        """Let new connections to an address work again."""
        self.blocked.discard(address)

    def kill(self) -> None:
        """End all connections of a dead process."""
        for connection in self.opened:
            connection._end()
            connection.other._end()


class PausableWorker:
    """A process's way to the platform on its worker."""

    def __init__(self, inner: StandinWorker, process_state: ProcessState) -> None:
        self.inner = inner
        self.process_state = process_state

    def __getattr__(self, name):
        async def call(*arguments):
            await self.process_state.running.wait()
            if self.process_state.killed:
                return WorkerDown("dead")
            return await getattr(self.inner, name)(*arguments)

        return call
