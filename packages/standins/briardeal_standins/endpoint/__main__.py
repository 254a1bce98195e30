"""Command that runs a stand-in endpoint as a process."""

from __future__ import annotations

import asyncio
import signal
import time

import click

from briardeal_standins.endpoint import StandinEndpoint


@click.command()
@click.option("--name", required=True, help="Name of the endpoint in its answers.")
@click.option("--service", required=True, help="Service whose requests it answers.")
@click.option("--listen", required=True, help="Address to listen on, IP:PORT.")
@click.option("--agent", required=True, help="HTTP address of the agent on the same VM, IP:PORT.")
@click.option("--work-s", type=float, default=0.05, help="Duration of each request, in seconds.")
def main(name: str, service: str, listen: str, agent: str, work_s: float) -> None:
    """Serve requests until stopped."""
    asyncio.run(_serve(name, service, listen, agent, work_s))


async def _serve(name: str, service: str, listen: str, agent: str, work_s: float) -> None:
    endpoint = StandinEndpoint(
        name, service, listen, agent, time.time_ns() // 1_000_000, work_s=work_s
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    async with endpoint:
        await stopped.wait()


if __name__ == "__main__":
    main()
