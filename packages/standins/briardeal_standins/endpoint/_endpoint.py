"""HTTP endpoint that counts its executions and announces itself to its agent."""

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
"""Seconds between the announcement that the endpoint leaves and the end of listening."""


class Execution(msgspec.Struct, frozen=True):
    """Body of an answer: the endpoint, the key of the request and its body."""

    endpoint: str
    key: str
    echo: str


class StandinEndpoint(Service):
    """Endpoint that runs as a process.

    Parameters
    ----------
    name
        Name of the endpoint in its answers.
    service
        Service whose requests it answers.
    address
        `IP:PORT` to listen on.
    agent_address
        `IP:PORT` of the agent on the same VM.
    incarnation
        Number that increases with every start of the process.
    slots
        Number of requests that it runs concurrently.
    work_s
        Duration of each request, in seconds.

    Attributes
    ----------
    executions
        Number of executions by key; requests without a key count under an empty key.
    max_concurrent
        Highest number of requests that ran concurrently.
    permits
        Permits of the running requests.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        agent_address: str,
        incarnation: int,
        slots: int = 8,
        work_s: float = 0.05,
    ) -> None:
        super().__init__()
        self.name = name
        self.address = address
        self.agent_address = agent_address
        self.announcement = Announcement(
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
        """Announce that the endpoint leaves, then finish the running requests."""
        self.announcement = msgspec.structs.replace(self.announcement, leaving=True)
        async with aiohttp.ClientSession() as session:
            await self._announce_once(session)
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self._runner.cleanup()

    async def run(self, request: web.Request) -> web.Response:
        """Run a request if it is addressed to this incarnation."""
        incarnation = request.headers.get("Briardeal-Incarnation")
        if incarnation not in (None, str(self.announcement.incarnation)):
            return web.Response(status=421, headers={"Briardeal-Run-State": "not_run"})
        key = request.headers.get("Idempotency-Key", "")
        body = await request.text()
        self.executions[key] = self.executions.get(key, 0) + 1
        permit = request.headers.get("Briardeal-Permit", "")
        self.permits.append(permit)
        self.max_concurrent = max(self.max_concurrent, len(self.permits))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.permits.remove(permit)
        answer = msgspec.json.encode(Execution(self.name, key, body))
        return web.Response(body=answer, content_type="application/json")

    async def list_executions(self, request: web.Request) -> web.Response:
        """Return the number of executions of each key."""
        return web.json_response(self.executions)

    @Service.task
    async def _announce(self) -> None:
        async with aiohttp.ClientSession() as session:
            while not self.should_stop:
                await self._announce_once(session)
                await self.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_once(self, session: aiohttp.ClientSession) -> None:
        current = msgspec.structs.replace(self.announcement, running=tuple(self.permits))
        url = f"http://{self.agent_address}/v1/endpoint"
        with contextlib.suppress(aiohttp.ClientError):
            async with session.put(url, data=msgspec.json.encode(current)):
                pass
