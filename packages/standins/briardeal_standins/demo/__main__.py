"""Runs the demo; the exit code is 0 only if every outcome is as expected."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import click

from briardeal_standins.demo._scenarios import run_scenarios
from briardeal_standins.demo._site import Site


@click.command()
def main() -> None:
    """Run the whole system on this machine and print the outcome of each scenario."""
    sys.exit(asyncio.run(_run()))


async def _run() -> int:
    async with aiohttp.ClientSession() as session:
        site = Site(session)
        try:
            return 0 if await run_scenarios(site) else 1
        finally:
            site.processes.kill_all()


if __name__ == "__main__":
    main()
