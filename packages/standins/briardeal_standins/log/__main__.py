"""Command that runs the stand-in log as a process."""

from __future__ import annotations

import click
from aiohttp import web

from briardeal_core.settings import address
from briardeal_standins.log._memory import MemoryLog
from briardeal_standins.log._server import create_application
from briardeal_standins.log._store import LogStore

SHUTDOWN_TIMEOUT_S = 1.0


@click.command()
@click.option("--listen", default="127.0.0.1:9000", help="Address to listen on, IP:PORT.")
@click.option(
    "--retention-s",
    type=float,
    default=None,
    help="Retention of entries, in seconds; unlimited if not given.",
)
def main(listen: str, retention_s: float | None) -> None:
    """Serve the log until stopped; it is empty at startup."""
    host, _, port = address(listen).rpartition(":")
    web.run_app(
        _create_log_application(retention_s),
        host=host,
        port=int(port),
        print=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )


async def _create_log_application(retention_s: float | None) -> web.Application:
    return create_application(MemoryLog(LogStore(retention_s)))


if __name__ == "__main__":
    main()
