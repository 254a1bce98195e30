"""Implementation of the command that runs the agent."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from briardeal_agent.announcements import AgentRoutes
from briardeal_agent.structure import Agent
from briardeal_agent.workers import HttpWorker
from briardeal_core.events import log_to_file
from briardeal_core.http import HttpServer
from briardeal_core.processes import wait_for_shutdown
from briardeal_protocol.connections import TcpNetwork

if TYPE_CHECKING:
    from briardeal_agent.config import AgentSettings


def run(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then exit with its exit code."""
    log_to_file(sys.stderr)
    sys.exit(asyncio.run(_run(settings)))


async def _run(settings: AgentSettings) -> int:
    worker = HttpWorker(settings.worker) if settings.worker else None
    agent = Agent(settings, TcpNetwork(), worker)
    server = HttpServer(AgentRoutes(agent).handle)
    await server.start(settings.listen)
    async with agent:
        exit_code = await wait_for_shutdown(agent)
    await server.stop()
    return exit_code
