"""Short bounded queues of requests that wait for a slot, one for each customer."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_MAX_S = 2.0
"""Longest wait for a slot."""

QUEUE_LIMIT = 256
"""Most requests of one customer that wait for one service."""

DRAIN_SAMPLES = 32
"""Completions that the drain rate is worked out from."""

DRAIN_WINDOW_S = 10.0
"""Age at which a completion no longer counts for the drain rate."""

RETRY_MIN_S = 0.1
RETRY_MAX_S = 30.0
RETRY_DEFAULT_S = 1.0

QueueName = tuple[str, str]


@dataclass(frozen=True)
class TooLong:
    """The wait would be too long.

    Parameters
    ----------
    retry_after_s
        When the queue will have drained, in seconds.
    """

    retry_after_s: float


@attrs.define(eq=False)
class Waiter:
    """One request in a queue.

    Parameters
    ----------
    queue
        The queue.
    turn
        Set when it is worth asking for a slot.
    """

    queue: RequestQueue
    turn: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_first(self) -> bool:
        """Whether the request is the next of its queue."""
        return self.queue.waiters[0] is self

    async def wait(self, timeout_s: float) -> None:
        """Wait until a slot may be free, at most `timeout_s` seconds."""
        self.turn.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self.turn.wait()
        except TimeoutError:
            pass


@attrs.define(eq=False)
class RequestQueue:
    """Requests of one customer that wait for one service.

    Parameters
    ----------
    waiters
        The requests, first come first.
    ended_s
        When the last requests that held slots ended, on the loop's clock.
    share
        Guaranteed share of the customer.
    in_use
        Slots that the customer holds by way of this entry.
    """

    waiters: deque[Waiter] = attrs.field(factory=deque)
    ended_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=DRAIN_SAMPLES))
    share: float = 0.0
    in_use: int = 0

    def wait_s(self, now_s: float) -> float:
        """Return how long one more request would wait, judging by the last completions."""
        while self.ended_s and self.ended_s[0] < now_s - DRAIN_WINDOW_S:
            self.ended_s.popleft()
        if len(self.ended_s) < 2:
            return 0.0
        interval_s = (now_s - self.ended_s[0]) / len(self.ended_s)
        return (len(self.waiters) + 1) * interval_s


class RequestQueues:
    """All queues of one entry.

    Parameters
    ----------
    now_s
        Clock of the loop.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.now_s = now_s
        self.queues: dict[QueueName, RequestQueue] = {}

    def queue(self, service: str, customer: str, share: float) -> RequestQueue:
        """Return the queue of a customer for a service."""
        queue = self.queues.setdefault((service, customer), RequestQueue())
        queue.share = share
        return queue

    def enter(self, queue: RequestQueue, left_s: float) -> Waiter | TooLong:
        """Join a queue, unless the wait is expected to be longer than allowed."""
        wait_s = queue.wait_s(self.now_s())
        if len(queue.waiters) >= QUEUE_LIMIT or wait_s > min(left_s, WAIT_MAX_S):
            return TooLong(self.retry_after_s(queue))
        waiter = Waiter(queue)
        queue.waiters.append(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Leave a queue and let the next one try."""
        waiter.queue.waiters.remove(waiter)
        if waiter.queue.waiters:
            waiter.queue.waiters[0].turn.set()

    def retry_after_s(self, queue: RequestQueue) -> float:
        """Return when a slot is to be expected, in seconds."""
        wait_s = queue.wait_s(self.now_s()) or RETRY_DEFAULT_S
        return min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)

    def take_slot(self, queue: RequestQueue) -> None:
        """Count a slot that a customer holds."""
        queue.in_use += 1

    def give_back_slot(self, queue: RequestQueue, service: str) -> None:
        """Count a slot that became free and let the customer furthest below its share try."""
        queue.in_use -= 1
        queue.ended_s.append(self.now_s())
        waiting = [
            other for name, other in self.queues.items() if name[0] == service and other.waiters
        ]
        if waiting:
            first = min(waiting, key=_use_of_share)
            first.waiters[0].turn.set()

    def forget_idle(self) -> None:
        """Forget queues without requests and without fresh completions."""
        oldest_s = self.now_s() - DRAIN_WINDOW_S
        for name, queue in list(self.queues.items()):
            fresh = queue.ended_s and queue.ended_s[-1] >= oldest_s
            if not queue.waiters and not queue.in_use and not fresh:
                del self.queues[name]


def _use_of_share(queue: RequestQueue) -> float:
    return (queue.in_use + 1) / max(queue.share, 0.01)
