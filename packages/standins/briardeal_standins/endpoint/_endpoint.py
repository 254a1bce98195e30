"""An HTTP endpoint that counts what it ran and announces itself to its agent."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import msgspec
from aiohttp import web
from mode import Service

from briardeal_protocol.messages import EndpointState

ANNOUNCE_INTERVAL_S = 0.5


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
    most_at_once
        Most requests that ran at once.
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
        self.announced = EndpointState(
            service=service, address=address, incarnation=incarnation, slots=slots, connections=64
        )
        self.work_s = work_s
        self.executions: dict[str, int] = {}
        self.running = 0
        self.most_at_once = 0
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
        """Finish what runs."""
        await self._runner.cleanup()

    async def run(self, http: web.Request) -> web.Response:
        """Run one request."""
        key = http.headers.get("Idempotency-Key", "")
        body = await http.text()
        self.executions[key] = self.executions.get(key, 0) + 1
        self.running += 1
        self.most_at_once = max(self.most_at_once, self.running)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer = msgspec.json.encode(Execution(self.name, key, body))
        return web.Response(body=answer, content_type="application/json")

    async def list_executions(self, http: web.Request) -> web.Response:
        """Return how often each key was run."""
        return web.json_response(self.executions)

    @Service.task
    async def _announce(self) -> None:
        async with aiohttp.ClientSession() as session:
            while not self.should_stop:
                with contextlib.suppress(aiohttp.ClientError):
                    url = f"http://{self.agent}/v1/endpoint"
                    async with session.put(url, data=msgspec.json.encode(self.announced)):
                        pass
                await self.sleep(ANNOUNCE_INTERVAL_S)
