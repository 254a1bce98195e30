"""Command that runs a stand-in worker as a process."""

from __future__ import annotations

import click
from aiohttp import web

from briardeal_core.settings import address
from briardeal_standins.worker import StandinWorker, create_worker_app


@click.command()
@click.option("--listen", required=True, help="Address to listen on, IP:PORT.")
def main(listen: str) -> None:
    """Serve the API of one worker until stopped."""
    host, _, port = address(listen).rpartition(":")
    web.run_app(_create_app(), host=host, port=int(port), print=None, shutdown_timeout=1.0)


async def _create_app() -> web.Application:
    return create_worker_app(StandinWorker())


if __name__ == "__main__":
    main()
