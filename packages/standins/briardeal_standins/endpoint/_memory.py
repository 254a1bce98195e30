"""Endpoints in memory with selectable faults."""

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
    """Faults of an endpoint that affect every request."""

    NONE = "none"
    FAIL_FAST = "fail_fast"
    """Runs the request and answers immediately with an error."""
    CUT = "cut"
    """Runs the request and cuts off the answer."""
    RESET = "reset"
    """Closes the connection without running the request."""


@attrs.define(eq=False)
class RequestRun:
    """One run of a request at an endpoint.

    Parameters
    ----------
    endpoint
        Name of the endpoint.
    incarnation
        Incarnation of the endpoint.
    body
        Body of the request.
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
    """Endpoint of one VM, whose process can be paused, killed and restarted.

    A request that has started runs to completion, even if its caller has disconnected.

    Parameters
    ----------
    name, service, address
        Name, service and address in announcements.
    get_registration
        Returns the registration of the agent on the same VM, or `None` while no agent runs.
    slots
        Number of requests that it runs concurrently.
    work_s
        Returns the duration of the next request, in seconds.

    Attributes
    ----------
    runs
        Runs of all incarnations.
    max_concurrent
        Highest number of requests that ran concurrently.
    leaving_since_s
        When the endpoint or its agent announced that it leaves, on the loop's clock; `None` if
        neither has.
    dispatched_s
        When each request arrived, on the loop's clock.
    resumed
        Cleared while the process is paused.
    """

    name: str
    service: str
    address: str
    get_registration: Callable[[], EndpointRegistration | None]
    slots: int = 8
    work_s: Callable[[], float] = lambda: 0.05
    incarnation: int = 0
    leaving: bool = False
    fault: Fault = Fault.NONE
    runs: list[RequestRun] = attrs.field(factory=list)
    dispatched_s: list[float] = attrs.field(factory=list)
    max_concurrent: int = 0
    leaving_since_s: float | None = None
    permits: list[str] = attrs.field(factory=list)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    resumed: asyncio.Event = attrs.field(factory=asyncio.Event)
    announce_task: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self.announce_task is not None

    def start(self) -> None:
        """Start the process as a new incarnation."""
        self.incarnation += 1
        self.leaving = False
        self.leaving_since_s = None
        self.resumed.set()
        self.announce_task = asyncio.create_task(self._announce_periodically())

    def kill(self) -> None:
        """Kill the process and the requests that it runs."""
        for task in [self.announce_task, *self.tasks]:
            task.cancel()
        self.announce_task = None
        self.permits.clear()

    def leave(self) -> None:
        """Announce that the endpoint is leaving and takes no new requests."""
        self.leaving = True
        self.leaving_since_s = loop_time()
        self.announce()

    def pause(self) -> None:
        """Pause the process."""
        self.resumed.clear()

    def resume(self) -> None:
        """Resume the process."""
        self.resumed.set()

    def announce(self) -> None:
        """Announce the current state to the agent."""
        registration = self.get_registration()
        if registration is not None:
            registration.register(self._create_announcement())

    async def handle_request(self, dispatch: Dispatch) -> Answer | NotRun | NoCompleteAnswer:
        """Run a request and return its answer."""
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
        run = RequestRun(self.name, self.incarnation, dispatch.request.body, loop.time())
        self.runs.append(run)
        self.permits.append(dispatch.permit_id)
        self.max_concurrent = max(self.max_concurrent, len(self.permits))
        try:
            await asyncio.sleep(0.001 if self.fault is Fault.FAIL_FAST else self.work_s())
            await self.resumed.wait()
            self.permits.remove(dispatch.permit_id)
        finally:
            run.ended_s = loop.time()

    async def _announce_periodically(self) -> None:
        while True:
            await self.resumed.wait()
            self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _create_announcement(self) -> Announcement:
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
    """Sends requests to endpoints in memory.

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
        """Send a request and wait for the complete answer until the deadline of the request."""
        loop = asyncio.get_running_loop()
        endpoint = self.endpoints[dispatch.address]
        await self.resumed.wait()
        await asyncio.sleep(2 * self.latency_s)
        if not endpoint.is_up:
            return NotRun("connection refused")
        if loop.time() >= dispatch.start_by_s:
            return NotRun("too late", late=True)
        delivery = asyncio.ensure_future(self._deliver(endpoint, dispatch))
        remaining_s = dispatch.request.deadline_s - loop.time()
        await asyncio.wait([delivery], timeout=max(0.0, remaining_s))
        await self.resumed.wait()
        if not delivery.done():
            return NoCompleteAnswer("no answer in time", timed_out=True)
        return delivery.result()

    async def _deliver(
        self, endpoint: MemoryEndpoint, dispatch: Dispatch
    ) -> Answer | NotRun | NoCompleteAnswer:
        await asyncio.sleep(self.latency_s)
        outcome = await endpoint.handle_request(dispatch)
        await asyncio.sleep(self.latency_s)
        return outcome
