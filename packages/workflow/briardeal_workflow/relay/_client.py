"""Client of the store that falls back to relays through other entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed, Link, TimedOut
from briardeal_workflow.control import (
    RelayAnswer,
    RelayAppend,
    RelayCancel,
    RelayHello,
    RelayList,
    RelayRead,
)
from briardeal_workflow.store import (
    NotStored,
    OutOfReach,
    Unconfirmed,
    estimate_upload_s,
    ignore_progress,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from briardeal_protocol.connections import Call, Network
    from briardeal_workflow.control import RelayPart
    from briardeal_workflow.store import AppendOutcome, Position, ReadOutcome, Record, Store

RELAY_DURATION_S = 1.0
"""Time for which calls go through other entries after a direct call to the store has failed."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout of a connection to another entry; over three times the longest round trip."""

UNREACHABLE_PAUSE_S = 1.0
"""Time for which no further connection to an entry is tried after one has failed."""

RELAY_MARGIN_S = 0.3
"""Time that a relay through another entry may add to a call."""

ANSWER_TIMEOUT_S = 0.6
"""Time beyond the requested wait until the answer to a read has to begin; slow responses of the
store take 0.25 s."""


class RelayedStore:
    """Calls the store directly, or through other entries while direct calls fail.

    Parameters
    ----------
    entry_id
        Name of this entry.
    direct
        Store client of this entry.
    network, peers
        Network to connect with, and a function that returns the addresses of other entries, the
        preferred one first.

    Attributes
    ----------
    direct_available
        Whether the newest direct call to the store succeeded.
    relay_until_s, relay_appends_until_s
        Until when all calls, and appends alone, go through other entries, on the loop's clock.
    direct_answer_s
        When the newest part of an answer to a direct call arrived, on the loop's clock.
    """

    def __init__(
        self, entry_id: str, direct: Store, network: Network, peers: Callable[[], list[str]]
    ) -> None:
        self.entry_id = entry_id
        self.direct = direct
        self.network = network
        self.peers = peers
        self.relay_until_s = float("-inf")
        self.relay_appends_until_s = float("-inf")
        self.direct_answer_s = float("-inf")
        self.direct_available = True
        self.direct_failing_since_s = float("-inf")
        self._links: dict[str, tuple[Link, asyncio.Task[object]]] = {}
        self._connecting: dict[str, asyncio.Lock] = {}
        self._unreachable_until_s: dict[str, float] = {}

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        *,
        expected_end: int | None = None,
        position: Position | None = None,
        timeout_s: float,
    ) -> AppendOutcome:
        """Append records, all or none; see `Store.append`."""
        fields = (topic, tuple(records), expected_end, position, timeout_s)
        if not self._uses_relay() and loop_time() >= self.relay_appends_until_s:
            sent_s = loop_time()
            outcome = await self.direct.append(
                topic,
                records,
                expected_end=expected_end,
                position=position,
                timeout_s=timeout_s,
            )
            self._record_direct_outcome(outcome, sent_s)
            if not isinstance(outcome, NotStored):
                return outcome
        # The records cross a second link.
        answer = await self._relay_call(
            lambda call_id: RelayAppend(call_id, *fields), timeout_s + estimate_upload_s(records)
        )
        return answer if isinstance(answer, NotStored | Unconfirmed) else answer.append_outcome()

    async def read(
        self,
        topic: str,
        offset: int,
        *,
        wait_s: float,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> ReadOutcome:
        """Read from an offset on; see `Store.read`."""
        return await self._read(
            lambda record: self.direct.read(topic, offset, wait_s=wait_s, on_progress=record),
            lambda call_id: RelayRead(call_id, topic, offset, wait_s, in_parts=True),
            wait_s,
            on_progress,
        )

    async def list_newest(
        self, topic: str, after_key: str, on_progress: Callable[[], None] = ignore_progress
    ) -> ReadOutcome:
        """Read a page of the newest record of each key; see `Store.list_newest`."""
        return await self._read(
            lambda record: self.direct.list_newest(topic, after_key, record),
            lambda call_id: RelayList(call_id, topic, after_key, in_parts=True),
            0.0,
            on_progress,
        )

    async def _read(
        self,
        read_directly: Callable[[Callable[[], None]], Awaitable[ReadOutcome]],
        make_call: Callable[[int], Call],
        wait_s: float,
        on_progress: Callable[[], None],
    ) -> ReadOutcome:
        """Read directly, or through another entry while direct calls fail.

        A large answer that is still arriving from another entry when direct calls are due again is
        read directly as well, and the first answer counts: the link of the other entry may carry
        answers for several entries.

        Parameters
        ----------
        read_directly
            Makes the direct call, with the function to call on progress.
        make_call
            Returns the relayed call with a number.
        wait_s
            Longest time for which the store waits for a record, in seconds.
        on_progress
            Called whenever a part of the records has arrived.
        """
        if not self._uses_relay():
            outcome = await self._read_directly(read_directly, wait_s, on_progress)
            if not isinstance(outcome, OutOfReach):
                return outcome
        arriving = asyncio.Event()

        def record_part() -> None:
            arriving.set()
            on_progress()

        timeout_s = wait_s + ANSWER_TIMEOUT_S
        async with asyncio.TaskGroup() as tasks:
            relayed = tasks.create_task(self._relay_read(make_call, timeout_s, record_part))
            waiting = tasks.create_task(arriving.wait())
            await asyncio.wait({relayed, waiting}, return_when=asyncio.FIRST_COMPLETED)
            waiting.cancel()
            pause_s = self.relay_until_s - loop_time()
            while not relayed.done():
                await asyncio.wait({relayed}, timeout=max(0.0, pause_s))
                if relayed.done():
                    break
                direct = tasks.create_task(self._read_directly(read_directly, wait_s, on_progress))
                await asyncio.wait({relayed, direct}, return_when=asyncio.FIRST_COMPLETED)
                if direct.done() and not isinstance(direct.result(), OutOfReach):
                    relayed.cancel()
                    return direct.result()
                if relayed.done() and isinstance(relayed.result(), OutOfReach):
                    return await direct
                direct.cancel()
                pause_s = RELAY_DURATION_S
        return relayed.result()

    async def _read_directly(
        self,
        read_directly: Callable[[Callable[[], None]], Awaitable[ReadOutcome]],
        wait_s: float,
        on_progress: Callable[[], None],
    ) -> ReadOutcome:
        due_s = loop_time() + wait_s
        outcome = await read_directly(self._record_answers(on_progress))
        self._record_direct_outcome(outcome, due_s)
        return outcome

    def _uses_relay(self) -> bool:
        return loop_time() < self.relay_until_s

    def _record_answers(self, on_progress: Callable[[], None]) -> Callable[[], None]:
        """Return a function to call when a part of an answer to a direct call has arrived."""

        def record() -> None:
            self.direct_answer_s = loop_time()
            on_progress()

        return record

    def _record_direct_outcome(self, outcome: AppendOutcome | ReadOutcome, due_s: float) -> None:
        """Record whether a direct call succeeded, and switch between direct calls and relays.

        A call whose answer is lost does not divert the others from a store that has answered one of
        them since `due_s`, when the answer was due; an append diverts further appends.
        """
        failed = isinstance(outcome, NotStored | Unconfirmed | OutOfReach)
        if failed and self.direct_answer_s > due_s:
            if not isinstance(outcome, OutOfReach):
                self.relay_appends_until_s = loop_time() + RELAY_DURATION_S
            return
        if failed and self.direct_available:
            log_event(Event.STORE_DETOUR, detail=outcome.detail)
            self.direct_failing_since_s = loop_time()
        if not failed and not self.direct_available:
            log_event(
                Event.STORE_REGAINED, after_s=round(loop_time() - self.direct_failing_since_s, 3)
            )
        if failed:
            self.relay_until_s = loop_time() + RELAY_DURATION_S
        else:
            self.direct_answer_s = loop_time()
        self.direct_available = not failed

    async def _relay_read(
        self,
        make_call: Callable[[int], Call],
        timeout_s: float,
        on_progress: Callable[[], None],
    ) -> ReadOutcome:
        parts: list[bytes] = []

        def collect(part: RelayPart) -> None:
            parts.append(part.data)
            on_progress()

        answer = await self._relay_call(make_call, timeout_s, collect)
        if isinstance(answer, NotStored | Unconfirmed):
            return OutOfReach(answer.detail)
        try:
            return answer.join(parts).read_outcome()
        except msgspec.DecodeError as error:
            return OutOfReach(f"unreadable answer of a relay: {error}")

    async def _relay_call(
        self,
        make_call: Callable[[int], Call],
        timeout_s: float,
        on_part: Callable[[RelayPart], None] | None = None,
    ) -> RelayAnswer | NotStored | Unconfirmed:
        """Make a call through the first entry that reaches the store.

        Returns
        -------
        RelayAnswer
            Response of an entry; a failure if each entry that was reached failed the call.
        NotStored
            If no entry is reachable, so that no call was sent.
        Unconfirmed
            If an entry did not respond, so that the call may have taken effect.
        """
        failed: RelayAnswer | NotStored = NotStored("no other entry is reachable")
        for address in sorted(self.peers(), key=lambda each: self._open_link(each) is None):
            link = await self._get_link(address)
            if link is None:
                continue
            call = make_call(link.next_call_id())
            try:
                answer = await link.call(call, timeout_s + RELAY_MARGIN_S, on_part)
            except asyncio.CancelledError:
                link.connection.post(RelayCancel(call.call_id))
                raise
            if isinstance(answer, Closed | TimedOut):
                self._close_link(address)
                return Unconfirmed(f"no response from relay {address}")
            if not isinstance(answer, RelayAnswer):
                continue
            if answer.outcome not in (NotStored.__name__, OutOfReach.__name__):
                return answer
            failed = answer
        # No entry reaches the store, so the next call goes to the store directly again.
        self.relay_until_s = self.relay_appends_until_s = float("-inf")
        return failed

    def _open_link(self, address: str) -> Link | None:
        link, _ = self._links.get(address, (None, None))
        return None if link is None or link.closed else link

    async def _get_link(self, address: str) -> Link | None:
        """Return a link to an entry, or `None` if the entry can't be reached.

        Calls that wait for the same connection share its outcome. Otherwise they would wait for the
        timeout of one attempt after the other.
        """
        async with self._connecting.setdefault(address, asyncio.Lock()):
            link = self._open_link(address)
            if link is None and loop_time() >= self._unreachable_until_s.get(address, 0.0):
                link = await self._connect(address)
                if link is None:
                    self._unreachable_until_s[address] = loop_time() + UNREACHABLE_PAUSE_S
            return link

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

    def _close_link(self, address: str) -> None:
        entry_link = self._links.pop(address, None)
        if entry_link is not None:
            entry_link[0].close_calls(Closed("no answer"))
            entry_link[1].cancel()


async def _ignore(message: object) -> None:
    """Discard a message that is not the response to a call."""
