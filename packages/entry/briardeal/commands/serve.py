"""Command that runs an entry until a signal stops it."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from aiohttp import web

from briardeal.api import create_app
from briardeal.requests import HttpEndpointClient
from briardeal.structure import Entry
from briardeal_core.events import log_to_file
from briardeal_core.log.client import HttpLog
from briardeal_core.processes import wait_for_shutdown
from briardeal_protocol.connections import TcpNetwork
from briardeal_protocol.peers import GrpcPeerNetwork

if TYPE_CHECKING:
    from briardeal.config import EntrySettings

LATE_RESPONSE_GRACE_S = 0.5


def serve(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    log_to_file(sys.stderr)
    sys.exit(asyncio.run(_serve(settings)))


async def _serve(settings: EntrySettings) -> int:
    client = HttpEndpointClient()
    log = HttpLog(f"http://{settings.log}")
    entry = Entry(settings, TcpNetwork(), log, client, peer_network=GrpcPeerNetwork())
    async with entry:
        runner = await _listen(entry, settings.listen)
        exit_code = await wait_for_shutdown(entry)
        if exit_code == 0:
            await entry.drain()
            await _stop_listening(runner)
        await runner.cleanup()
    await client.close()
    await log.close()
    return exit_code


async def _listen(entry: Entry, address: str) -> web.AppRunner:
    runner = web.AppRunner(create_app(entry), access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def _stop_listening(runner: web.AppRunner) -> None:
    for site in list(runner.sites):
        await site.stop()
    # Requests received before are still answered.
    await asyncio.sleep(LATE_RESPONSE_GRACE_S)
