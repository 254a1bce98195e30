"""Runs the demo; exits with 0 only if every outcome is right."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import click

from briardeal_standins.demo._site import Site
from briardeal_standins.demo._story import tell_story


@click.command()
def main() -> None:
    """Run the whole system on this machine and tell what became of each piece of work."""
    sys.exit(asyncio.run(_run()))


async def _run() -> int:
    async with aiohttp.ClientSession() as session:
        site = Site(session)
        try:
            return 0 if await tell_story(site) else 1
        finally:
            site.processes.kill_all()


if __name__ == "__main__":
    main()
