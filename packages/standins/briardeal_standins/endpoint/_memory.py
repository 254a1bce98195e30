"""Endpoints within one process, with faults to order."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from briardeal.requests import Answer, NoCompleteAnswer, NotRun
from briardeal_agent.announcements import Announcement
from briardeal_core.clock import loop_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.requests import Dispatch
    from briardeal_agent.announcements import EndpointRegistration

ANNOUNCE_INTERVAL_S = 0.5
CONNECTIONS = 64


class Fault(enum.Enum):
    """What an endpoint does wrong with each request."""

    NONE = "none"
    FAIL_FAST = "fail_fast"
    """Runs it and answers at once with an error."""
    CUT = "cut"
    """Runs it and breaks the answer off."""
    RESET = "reset"
    """Closes the connection without running it."""


@attrs.define(eq=False)
class Run:
    """One run of a request, as the endpoint saw it.

    Parameters
    ----------
    endpoint
        Name of the endpoint.
    incarnation
        Its incarnation.
    body
        Content of the request.
    started_s, ended_s
        When it started and ended, on the loop's clock; `None` while it runs.
    """

    endpoint: str
    incarnation: int
    body: bytes
    started_s: float
    ended_s: float | None = None


@attrs.define(eq=False)
class MemoryEndpoint:
    """One endpoint VM, whose process can be paused, killed and started again.

    A request that has started runs to its end, also when its caller is gone.

    Parameters
    ----------
    name, service, address
        As announced.
    agent
        Returns the announcements that the agent beside it takes, or `None` while there is none.
    slots
        Requests that it takes at once.
    work_s
        Returns how long the next request takes, in seconds.

    Attributes
    ----------
    runs
        All runs, of every incarnation.
    max_concurrent
        Most requests that ran at once.
    leaving_since_s
        When it, or the agent beside it, said that it leaves; `None` where neither has.
    dispatched_s
        When each request arrived, on the loop's clock.
    """

    name: str
    service: str
    address: str
    agent: Callable[[], EndpointRegistration | None]
    slots: int = 8
    work_s: Callable[[], float] = lambda: 0.05
    incarnation: int = 0
    leaving: bool = False
    fault: Fault = Fault.NONE
    runs: list[Run] = attrs.field(factory=list)
    dispatched_s: list[float] = attrs.field(factory=list)
    max_concurrent: int = 0
    leaving_since_s: float | None = None
    permits: list[str] = attrs.field(factory=list)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    resumed: asyncio.Event = attrs.field(factory=asyncio.Event)
    announcing: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Whether there is a process."""
        return self.announcing is not None

    def start(self) -> None:
        """Start a process, with a higher incarnation."""
        self.incarnation += 1
        self.leaving = False
        self.leaving_since_s = None
        self.resumed.set()
        self.announcing = asyncio.create_task(self._announce())

    def kill(self) -> None:
        """End the process and all that it runs."""
        for task in [self.announcing, *self.tasks]:
            task.cancel()
        self.announcing = None
        self.permits.clear()

    def leave(self) -> None:
        """Announce that no new work is taken."""
        self.leaving = True
        self.leaving_since_s = loop_time()
        self.announce()

    def pause(self) -> None:
        """Halt the process."""
        self.resumed.clear()

    def resume(self) -> None:
        """Let the process go on."""
        self.resumed.set()

    def announce(self) -> None:
        """Announce the state once."""
        announcements = self.agent()
        if announcements is not None:
            announcements.register(self._announcement())

    async def take(self, dispatch: Dispatch) -> Answer | NotRun | NoCompleteAnswer:
        """Run a request that has arrived, and return its answer."""
        await self.resumed.wait()
        if dispatch.incarnation != self.incarnation:
            return NotRun("another incarnation", declined=True)
        self.dispatched_s.append(loop_time())
        if self.fault is Fault.RESET:
            return NoCompleteAnswer("reset")
        task = asyncio.create_task(self._run(dispatch))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await asyncio.wait([task])
        if task.cancelled():
            return NoCompleteAnswer("the process ended")
        if self.fault is Fault.CUT:
            return NoCompleteAnswer("cut", cut=True)
        status = 500 if self.fault is Fault.FAIL_FAST else 200
        return Answer(status, dispatch.request.body, "text/plain")

    async def _run(self, dispatch: Dispatch) -> None:
        loop = asyncio.get_running_loop()
        run = Run(self.name, self.incarnation, dispatch.request.body, loop.time())
        self.runs.append(run)
        self.permits.append(dispatch.permit_id)
        self.max_concurrent = max(self.max_concurrent, len(self.permits))
        try:
            await asyncio.sleep(0.001 if self.fault is Fault.FAIL_FAST else self.work_s())
            await self.resumed.wait()
            self.permits.remove(dispatch.permit_id)
        finally:
            run.ended_s = loop.time()

    async def _announce(self) -> None:
        while True:
            await self.resumed.wait()
            self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _announcement(self) -> Announcement:
        return Announcement(
            service=self.service,
            address=self.address,
            incarnation=self.incarnation,
            slots=self.slots,
            connections=CONNECTIONS,
            leaving=self.leaving,
            running=tuple(self.permits),
        )


class MemoryEndpointClient:
    """Sends requests to endpoints within the process.

    Parameters
    ----------
    endpoints
        Endpoints by address.
    latency_s
        One-way latency, in seconds.

    Attributes
    ----------
    resumed
        Cleared while the process that this client belongs to is paused.
    """

    def __init__(self, endpoints: dict[str, MemoryEndpoint], latency_s: float = 0.0005) -> None:
        self.endpoints = endpoints
        self.latency_s = latency_s
        self.resumed = asyncio.Event()
        self.resumed.set()

    async def send(self, dispatch: Dispatch) -> Answer | NotRun | NoCompleteAnswer:
        """Send a request and wait for the whole answer, until the deadline of the request."""
        loop = asyncio.get_running_loop()
        endpoint = self.endpoints[dispatch.address]
        await self.resumed.wait()
        await asyncio.sleep(2 * self.latency_s)
        if not endpoint.is_up:
            return NotRun("connection refused")
        if loop.time() >= dispatch.start_by_s:
            return NotRun("too late", late=True)
        taking = asyncio.ensure_future(self._deliver(endpoint, dispatch))
        left_s = dispatch.request.deadline_s - loop.time()
        await asyncio.wait([taking], timeout=max(0.0, left_s))
        await self.resumed.wait()
        if not taking.done():
            return NoCompleteAnswer("no answer in time", timed_out=True)
        return taking.result()

    async def _deliver(
        self, endpoint: MemoryEndpoint, dispatch: Dispatch
    ) -> Answer | NotRun | NoCompleteAnswer:
        await asyncio.sleep(self.latency_s)
        outcome = await endpoint.take(dispatch)
        await asyncio.sleep(self.latency_s)
        return outcome
