"""Server for store calls of other entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import (
    RelayAnswer,
    RelayAppend,
    RelayCancel,
    RelayList,
    RelayPart,
    RelayRead,
)
from briardeal_workflow.store import NotStored, OutOfReach, ignore_progress

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_protocol.connections import Connection
    from briardeal_workflow.store import ReadOutcome, Store

PROGRESS_INTERVAL_S = 0.25
"""Interval at which the other entry is told that records arrive for it."""


class RelayServer:
    """Makes store calls for other entries.

    Parameters
    ----------
    store
        Store client that makes direct calls only, so that no call is relayed in a circle.
    is_available
        Returns whether direct calls of this entry succeed; otherwise relayed calls fail at once.
    """

    def __init__(self, store: Store, is_available: Callable[[], bool]) -> None:
        self.store = store
        self.is_available = is_available

    async def serve(self, connection: Connection) -> None:
        """Serve the calls on a connection until it closes."""
        calls: dict[int, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as tasks:
            while True:
                message = await connection.receive()
                if isinstance(message, Closed):
                    return
                if isinstance(message, RelayCancel):
                    if message.call_id in calls:
                        calls[message.call_id].cancel()
                    continue
                call = tasks.create_task(self._serve_call(connection, message))
                if isinstance(message, RelayRead | RelayList):
                    calls[message.call_id] = call
                    call.add_done_callback(lambda _, id_=message.call_id: calls.pop(id_))

    async def _serve_call(self, connection: Connection, message: object) -> None:
        if not self.is_available():
            failed = NotStored if isinstance(message, RelayAppend) else OutOfReach
            outcome: object = failed("calls of the relaying entry to the store fail as well")
        elif isinstance(message, RelayAppend):
            outcome = await self.store.append(
                message.topic,
                message.records,
                expected_end=message.expected_end,
                position=message.position,
                timeout_s=message.timeout_s,
            )
        elif isinstance(message, RelayRead | RelayList):
            outcome = await self._read(connection, message)
        else:
            return
        answer = RelayAnswer.from_outcome(message.call_id, outcome)
        for each in answer.split() if getattr(message, "in_parts", False) else [answer]:
            if await connection.send(each) is not None:
                return

    async def _read(self, connection: Connection, message: RelayRead | RelayList) -> ReadOutcome:
        progress = _Progress(connection, message.call_id)
        on_progress = progress.report if message.in_parts else ignore_progress
        if isinstance(message, RelayRead):
            return await self.store.read(
                message.topic, message.offset, wait_s=message.wait_s, on_progress=on_progress
            )
        return await self.store.list_newest(message.topic, message.after_key, on_progress)


class _Progress:
    """Tells the other entry that the answer of the store to its call is arriving."""

    def __init__(self, connection: Connection, call_id: int) -> None:
        self.connection = connection
        self.call_id = call_id
        self.reported_s = float("-inf")

    def report(self) -> None:
        """Send a part without records, unless one was sent just before."""
        if loop_time() - self.reported_s >= PROGRESS_INTERVAL_S:
            self.reported_s = loop_time()
            self.connection.post(RelayPart(self.call_id))
