"""Calls to the store on behalf of another entry."""

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
    """Makes calls to the store for other entries.

    Parameters
    ----------
    store
        The store as this entry itself reaches it, so that no call goes round in circles.
    works
        Returns whether the store answers this entry; where it does not, calls fail at once.
    """

    def __init__(self, store: Store, works: Callable[[], bool]) -> None:
        self.store = store
        self.works = works

    async def serve(self, connection: Connection) -> None:
        """Answer the calls on a connection until it ends."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                message = await connection.receive()
                if isinstance(message, Closed):
                    return
                tasks.create_task(self._answer(connection, message))

    async def _answer(self, connection: Connection, message: object) -> None:
        if not self.works():
            failed = NotStored if isinstance(message, RelayAppend) else OutOfReach
            outcome: object = failed("the store does not answer this entry either")
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
