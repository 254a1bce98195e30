"""Bounded queues of requests that wait for a slot, one for each service and customer."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_MAX_S = 2.0
"""Longest wait for a slot, in seconds."""

QUEUE_LIMIT = 256
"""Most requests of one customer that wait for one service."""

DRAIN_SAMPLES = 32
"""Number of completions from which the drain rate is estimated."""

DRAIN_WINDOW_S = 10.0
"""Age at which a completion no longer counts for the drain rate, in seconds."""

RETRY_MIN_S = 0.1
RETRY_MAX_S = 30.0
"""Limits of the retry time that a rejected caller receives, in seconds."""

RETRY_DEFAULT_S = 1.0
"""Retry time while too few requests have completed for an estimate, in seconds."""

QueueKey = tuple[str, str]


@dataclass(frozen=True)
class WaitTooLong:
    """Rejection of a request whose expected wait is too long, or whose queue is full.

    Parameters
    ----------
    retry_after_s
        Expected time until a slot is free, in seconds.
    """

    retry_after_s: float


@attrs.define(eq=False)
class Waiter:
    """One request in a queue.

    Parameters
    ----------
    queue
        Queue that the request waits in.
    slot_may_be_free
        Set when the request should try again to get a slot.
    """

    queue: RequestQueue
    slot_may_be_free: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_first(self) -> bool:
        """Whether the request is the first in its queue."""
        return self.queue.waiters[0] is self

    async def wait(self, timeout_s: float) -> None:
        """Wait until a slot may be free, at most `timeout_s` seconds."""
        self.slot_may_be_free.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self.slot_may_be_free.wait()
        except TimeoutError:
            pass


@attrs.define(eq=False)
class RequestQueue:
    """Requests of one customer that wait for one service.

    Parameters
    ----------
    waiters
        Waiting requests, in order of arrival.
    completed_at_s
        When the last requests that held slots ended, on the event loop's clock.
    share
        Guaranteed share of slots of the customer.
    in_use
        Slots that the customer's requests through this entry hold.
    """

    waiters: deque[Waiter] = attrs.field(factory=deque)
    completed_at_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=DRAIN_SAMPLES))
    share: float = 0.0
    in_use: int = 0

    def expected_wait_s(self, now_s: float) -> float:
        """Return how long one more request would wait, estimated from the last completions."""
        while self.completed_at_s and self.completed_at_s[0] < now_s - DRAIN_WINDOW_S:
            self.completed_at_s.popleft()
        if len(self.completed_at_s) < 2:
            return 0.0
        interval_s = (now_s - self.completed_at_s[0]) / len(self.completed_at_s)
        return (len(self.waiters) + 1) * interval_s


class RequestQueues:
    """All queues of one entry.

    Parameters
    ----------
    now_s
        Returns the event loop's time in seconds.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.now_s = now_s
        self.queues: dict[QueueKey, RequestQueue] = {}

    def find_or_add(self, service: str, customer: str, share: float) -> RequestQueue:
        """Return the queue of a customer for a service, with its share updated."""
        queue = self.queues.setdefault((service, customer), RequestQueue())
        queue.share = share
        return queue

    def enqueue(self, queue: RequestQueue, remaining_s: float) -> Waiter | WaitTooLong:
        """Add a request to a queue, unless the queue is full or the expected wait is too long."""
        wait_s = queue.expected_wait_s(self.now_s())
        if len(queue.waiters) >= QUEUE_LIMIT or wait_s > min(remaining_s, WAIT_MAX_S):
            return WaitTooLong(self.retry_after_s(queue))
        waiter = Waiter(queue)
        queue.waiters.append(waiter)
        return waiter

    def dequeue(self, waiter: Waiter) -> None:
        """Remove a request from its queue and let the next one try."""
        waiter.queue.waiters.remove(waiter)
        if waiter.queue.waiters:
            waiter.queue.waiters[0].slot_may_be_free.set()

    def retry_after_s(self, queue: RequestQueue) -> float:
        """Return the expected time until a slot is free, in seconds."""
        wait_s = queue.expected_wait_s(self.now_s()) or RETRY_DEFAULT_S
        return min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)

    def count_slot_taken(self, queue: RequestQueue) -> None:
        """Count a slot that a customer's request now holds."""
        queue.in_use += 1

    def count_slot_freed(self, queue: RequestQueue, service: str) -> None:
        """Count a slot as free and let the customer furthest below its share try."""
        queue.in_use -= 1
        queue.completed_at_s.append(self.now_s())
        waiting = [
            other for name, other in self.queues.items() if name[0] == service and other.waiters
        ]
        if waiting:
            first = min(waiting, key=_share_use)
            first.waiters[0].slot_may_be_free.set()

    def remove_idle(self) -> None:
        """Remove queues without requests and without recent completions."""
        oldest_s = self.now_s() - DRAIN_WINDOW_S
        for name, queue in list(self.queues.items()):
            recent = queue.completed_at_s and queue.completed_at_s[-1] >= oldest_s
            if not queue.waiters and not queue.in_use and not recent:
                del self.queues[name]


def _share_use(queue: RequestQueue) -> float:
    return (queue.in_use + 1) / max(queue.share, 0.01)
