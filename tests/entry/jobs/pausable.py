"""Connections of a simulated process that stop working while it is paused or after it is killed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_agent.workers import WorkerUnavailable
from briardeal_core.log import LogUnavailable
from briardeal_protocol.connections import Closed, MemoryNetwork
from briardeal_standins.log import Faults, LogStore, MemoryLog

if TYPE_CHECKING:
    from briardeal_standins.worker import StandinWorker


class ProcessState:
    """Whether a simulated process runs, is paused or has been killed."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.killed = False


class PausableLog:
    """Access of a simulated process to the log."""

    def __init__(self, store: LogStore, process_state: ProcessState) -> None:
        self.process_state = process_state
        self.faults = Faults()
        self.inner = MemoryLog(store, self.faults)

    async def append(self, stream, record, append_id):
        await self.process_state.running.wait()
        if self.process_state.killed:
            return LogUnavailable("dead")
        return await self._wait_and_return(await self.inner.append(stream, record, append_id))

    async def read(self, stream, offset, limit, wait_s=0.0):
        await self.process_state.running.wait()
        if self.process_state.killed:
            return LogUnavailable("dead")
        return await self._wait_and_return(await self.inner.read(stream, offset, limit, wait_s))

    async def _wait_and_return(self, outcome):
        await self.process_state.running.wait()
        return LogUnavailable("dead") if self.process_state.killed else outcome


class PausableConnection:
    """One end of a connection; messages to and from a paused process wait until it resumes."""

    def __init__(self, inner, process_state: ProcessState) -> None:
        self.inner = inner
        self.process_state = process_state
        self.delayed: list = []

    async def send(self, message):
        if self.process_state.running.is_set():
            return await self.inner.send(message)
        if not self.delayed:
            asyncio.get_running_loop().create_task(self._send_delayed())
        self.delayed.append(message)
        return None

    async def receive(self):
        message = await self.inner.receive()
        await self.process_state.running.wait()
        return Closed("dead") if self.process_state.killed else message

    async def close(self):
        await self.inner.close()

    async def _send_delayed(self):
        await self.process_state.running.wait()
        for message in self.delayed if not self.process_state.killed else ():
            await self.inner.send(message)
        self.delayed = []


class PausableNetwork:
    """Access of a simulated process to the network."""

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
        """Drop all traffic to an address without closing its connections."""
        self.blocked.add(address)
        for connection in self.opened:
            if connection.address == address:
                connection.silent = connection.remote.silent = True

    def heal(self, address: str) -> None:
        """Allow new connections to an address again."""
        self.blocked.discard(address)

    def kill(self) -> None:
        """Close all connections of a killed process."""
        for connection in self.opened:
            connection._mark_closed()
            connection.remote._mark_closed()


class PausableWorker:
    """Access of a simulated process to the platform on its worker."""

    def __init__(self, inner: StandinWorker, process_state: ProcessState) -> None:
        self.inner = inner
        self.process_state = process_state

    def __getattr__(self, name):
        async def call(*arguments):
            await self.process_state.running.wait()
            if self.process_state.killed:
                return WorkerUnavailable("dead")
            return await getattr(self.inner, name)(*arguments)

        return call
