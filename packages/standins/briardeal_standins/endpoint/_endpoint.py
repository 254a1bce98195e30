"""An HTTP endpoint that counts what it ran and announces itself to its agent."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import msgspec
from aiohttp import web
from mode import Service

from briardeal_agent.announcements import Announcement

ANNOUNCE_INTERVAL_S = 0.5
LEAVING_NOTICE_S = 1.5
"""Time between the announcement of leaving and the end of listening."""


class Execution(msgspec.Struct, frozen=True):
    """Body of an answer: which endpoint ran which request."""

    endpoint: str
    key: str
    echo: str


class StandinEndpoint(Service):
    """One endpoint process.

    Parameters
    ----------
    name
        Name told in answers.
    service
        Service that it answers for.
    address
        `IP:PORT` to listen on.
    agent
        `IP:PORT` of the agent beside it.
    incarnation
        Number that is higher after every start.
    slots
        Requests that it takes at once.
    work_s
        How long each request takes, in seconds.

    Attributes
    ----------
    executions
        How often each key was run; requests without a key count under the empty one.
    max_concurrent
        Most requests that ran at once.
    permits
        Permits of the requests that run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        agent: str,
        incarnation: int,
        slots: int = 8,
        work_s: float = 0.05,
    ) -> None:
        super().__init__()
        self.name = name
        self.address = address
        self.agent = agent
        self.announced = Announcement(
            service=service, address=address, incarnation=incarnation, slots=slots, connections=64
        )
        self.work_s = work_s
        self.executions: dict[str, int] = {}
        self.permits: list[str] = []
        self.max_concurrent = 0
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Listen for requests."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.add_routes(
            [web.post("/v1/requests", self.run), web.get("/v1/executions", self.list_executions)]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def on_stop(self) -> None:
        """Announce the leaving, then finish what runs."""
        self.announced = msgspec.structs.replace(self.announced, leaving=True)
        async with aiohttp.ClientSession() as session:
            await self._announce_once(session)
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self._runner.cleanup()

    async def run(self, http: web.Request) -> web.Response:
        """Run one request, if it is meant for this incarnation."""
        incarnation = http.headers.get("Briardeal-Incarnation")
        if incarnation not in (None, str(self.announced.incarnation)):
            return web.Response(status=421, headers={"Briardeal-Run-State": "not_run"})
        key = http.headers.get("Idempotency-Key", "")
        body = await http.text()
        self.executions[key] = self.executions.get(key, 0) + 1
        permit = http.headers.get("Briardeal-Permit", "")
        self.permits.append(permit)
        self.max_concurrent = max(self.max_concurrent, len(self.permits))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.permits.remove(permit)
        answer = msgspec.json.encode(Execution(self.name, key, body))
        return web.Response(body=answer, content_type="application/json")

    async def list_executions(self, http: web.Request) -> web.Response:
        """Return how often each key was run."""
        return web.json_response(self.executions)

    @Service.task
    async def _announce(self) -> None:
        async with aiohttp.ClientSession() as session:
            while not self.should_stop:
                await self._announce_once(session)
                await self.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_once(self, session: aiohttp.ClientSession) -> None:
        announcement = msgspec.structs.replace(self.announced, running=tuple(self.permits))
        url = f"http://{self.agent}/v1/endpoint"
        with contextlib.suppress(aiohttp.ClientError):
            async with session.put(url, data=msgspec.json.encode(announcement)):
                pass
