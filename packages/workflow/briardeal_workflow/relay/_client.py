"""The store, or another entry that reaches it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed, Link, TimedOut
from briardeal_workflow.control import (
    RelayAnswer,
    RelayAppend,
    RelayHello,
    RelayList,
    RelayRead,
)
from briardeal_workflow.store import NotStored, OutOfReach, Unconfirmed

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardeal_protocol.connections import Call, Network
    from briardeal_workflow.store import AppendOutcome, Position, ReadOutcome, Record, Store

DETOUR_S = 1.0
"""Time for which calls go through another entry after the store has failed this one."""

CONNECT_TIMEOUT_S = 0.5
"""Time for a connection to another entry; three times the longest way there and back, and more."""

ANSWER_MARGIN_S = 0.3
"""Time that the way through another entry may add to a call."""

READ_TIMEOUT_S = 0.6
"""Time for an answer beyond the time that the store was asked to wait; slow ones take 0.25 s."""


class RelayedStore:
    """Calls the store, and goes through another entry while the store fails this one.

    Parameters
    ----------
    entry_id
        Name of this entry.
    direct
        The store as this entry itself reaches it.
    network, peers
        How to connect, and the addresses of other entries, the best first.

    Attributes
    ----------
    direct_works
        Whether the store answered the newest call of this entry itself.
    """

    def __init__(
        self, entry_id: str, direct: Store, network: Network, peers: Callable[[], list[str]]
    ) -> None:
        self.entry_id = entry_id
        self.direct = direct
        self.network = network
        self.peers = peers
        self.detour_until_s = float("-inf")
        self.direct_available = True
        self.failing_since_s = float("-inf")
        self._links: dict[str, tuple[Link, asyncio.Task[object]]] = {}
        self._connecting: dict[str, asyncio.Lock] = {}

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        *,
        expected_end: int | None = None,
        position: Position | None = None,
        timeout_s: float,
    ) -> AppendOutcome:
        """Append records, all or none."""
        fields = (topic, tuple(records), expected_end, position, timeout_s)
        if not self._detours():
            outcome = await self.direct.append(
                topic,
                records,
                expected_end=expected_end,
                position=position,
                timeout_s=timeout_s,
            )
            self._note_direct(outcome)
            if not isinstance(outcome, NotStored):
                return outcome
        answer = await self._ask(lambda call_id: RelayAppend(call_id, *fields), timeout_s)
        return answer if isinstance(answer, NotStored | Unconfirmed) else answer.append_outcome()

    async def read(self, topic: str, offset: int, *, wait_s: float) -> ReadOutcome:
        """Read from an offset on; wait up to `wait_s` for the first record."""
        if not self._detours():
            outcome = await self.direct.read(topic, offset, wait_s=wait_s)
            self._note_direct(outcome)
            if not isinstance(outcome, OutOfReach):
                return outcome
        timeout_s = wait_s + READ_TIMEOUT_S
        return await self._ask_to_read(
            lambda call_id: RelayRead(call_id, topic, offset, wait_s), timeout_s
        )

    async def list_newest(self, topic: str, after_key: str) -> ReadOutcome:
        """Read a page of the newest record of each key."""
        if not self._detours():
            outcome = await self.direct.list_newest(topic, after_key)
            self._note_direct(outcome)
            if not isinstance(outcome, OutOfReach):
                return outcome
        return await self._ask_to_read(
            lambda call_id: RelayList(call_id, topic, after_key), READ_TIMEOUT_S
        )

    def _detours(self) -> bool:
        return loop_time() < self.detour_until_s

    def _note_direct(self, outcome: AppendOutcome | ReadOutcome) -> None:
        """Note whether the store has answered this entry itself."""
        failed = isinstance(outcome, NotStored | Unconfirmed | OutOfReach)
        if failed and self.direct_available:
            log_event(Event.STORE_DETOUR, detail=outcome.detail)
            self.failing_since_s = loop_time()
        if not failed and not self.direct_available:
            log_event(Event.STORE_REGAINED, after_s=round(loop_time() - self.failing_since_s, 3))
        if failed:
            self.detour_until_s = loop_time() + DETOUR_S
        self.direct_available = not failed

    async def _ask_to_read(self, make_call: Callable[[int], Call], timeout_s: float) -> ReadOutcome:
        answer = await self._ask(make_call, timeout_s)
        if isinstance(answer, NotStored | Unconfirmed):
            return OutOfReach(answer.detail)
        return answer.read_outcome()

    async def _ask(
        self, make_call: Callable[[int], Call], timeout_s: float
    ) -> RelayAnswer | NotStored | Unconfirmed:
        """Make a call through the first entry that the store serves.

        Returns
        -------
        RelayAnswer, NotStored or Unconfirmed
            Whether nothing was sent, or may have been done without an answer.
        """
        failed: RelayAnswer | NotStored = NotStored("no other entry is in reach")
        for address in self.peers():
            link = await self._link(address)
            if link is None:
                continue
            call = make_call(link.next_call_id())
            answer = await link.call(call, timeout_s + ANSWER_MARGIN_S)
            if isinstance(answer, Closed | TimedOut):
                self._drop(address)
                return Unconfirmed(f"no answer through {address}")
            if not isinstance(answer, RelayAnswer):
                continue
            if answer.outcome not in (NotStored.__name__, OutOfReach.__name__):
                return answer
            failed = answer
        # None has it; the next call asks the store itself again.
        self.detour_until_s = float("-inf")
        return failed

    async def _link(self, address: str) -> Link | None:
        async with self._connecting.setdefault(address, asyncio.Lock()):
            known = self._links.get(address)
            if known is not None and not known[0].closed:
                return known[0]
            return await self._connect(address)

    async def _connect(self, address: str) -> Link | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self.network.connect(address)
        except TimeoutError:
            return None
        if isinstance(connection, Closed):
            return None
        await connection.send(RelayHello(self.entry_id))
        link = Link(connection)
        task = asyncio.get_running_loop().create_task(link.run(_ignore))
        self._links[address] = (link, task)
        return link

    def _drop(self, address: str) -> None:
        known = self._links.pop(address, None)
        if known is not None:
            known[0].close_calls(Closed("no answer"))
            known[1].cancel()


async def _ignore(message: object) -> None:
    """Leave out what answers no call."""
