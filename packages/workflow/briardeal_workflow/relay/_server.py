"""Server for store calls of other entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_protocol.connections import Closed
from briardeal_workflow.control import RelayAnswer, RelayAppend, RelayList, RelayRead
from briardeal_workflow.store import NotStored, OutOfReach

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_protocol.connections import Connection
    from briardeal_workflow.store import Store


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
        async with asyncio.TaskGroup() as tasks:
            while True:
                message = await connection.receive()
                if isinstance(message, Closed):
                    return
                tasks.create_task(self._serve_call(connection, message))

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
        elif isinstance(message, RelayRead):
            outcome = await self.store.read(message.topic, message.offset, wait_s=message.wait_s)
        elif isinstance(message, RelayList):
            outcome = await self.store.list_newest(message.topic, message.after_key)
        else:
            return
        await connection.send(RelayAnswer.from_outcome(message.call_id, outcome))
