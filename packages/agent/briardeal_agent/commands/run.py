"""Running of the agent until a signal ends it."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from briardeal_agent.announcements import Routes
from briardeal_agent.http import HttpServer
from briardeal_agent.structure import Agent
from briardeal_agent.workers import HttpWorker
from briardeal_core.events import log_to_file
from briardeal_protocol.connections import TcpNetwork

if TYPE_CHECKING:
    from briardeal_agent.config import AgentSettings


def run(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    log_to_file(sys.stderr)
    asyncio.run(_run(settings))


async def _run(settings: AgentSettings) -> None:
    worker = HttpWorker(settings.worker) if settings.worker else None
    agent = Agent(settings, TcpNetwork(), worker)
    server = HttpServer(Routes(agent).handle)
    await server.start(settings.listen)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    async with agent:
        await stopped.wait()
    await server.stop()
