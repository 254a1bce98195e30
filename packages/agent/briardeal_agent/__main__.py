"""Command line of the agent."""

from __future__ import annotations

import sys

import click

from briardeal_agent.config import AgentSettings
from briardeal_core.settings import click_options, load_or_exit

RUN_HELP = "Run the agent beside an endpoint or a worker."
CHECK_HELP = "Check the settings without starting."


@click.group()
def cli() -> None:
    """Admission, tasks and heartbeats of one VM."""


@cli.command(help=RUN_HELP)
@click_options(AgentSettings)
def run(**flags: str | None) -> None:
    """Run the agent."""
    _leave_out_tls()
    from briardeal_agent.commands import run as command

    command.run(load_or_exit(AgentSettings, flags))


@cli.command("check-settings", help=CHECK_HELP)
@click_options(AgentSettings)
def check_settings(**flags: str | None) -> None:
    """Check the settings."""
    load_or_exit(AgentSettings, flags)
    click.echo("The settings are right.")


def _leave_out_tls() -> None:
    # The agent speaks no TLS. asyncio does without the module, which takes an eighth of the
    # memory that a node may spend on control.
    sys.modules["ssl"] = None


if __name__ == "__main__":
    cli()
