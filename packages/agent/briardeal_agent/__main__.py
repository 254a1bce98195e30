"""Command line of the agent."""

from __future__ import annotations

import sys

import click

from briardeal_agent.config import AgentSettings
from briardeal_core.settings import click_options, load_or_exit

RUN_HELP = "Run the agent of an endpoint or worker."
CHECK_HELP = "Check the settings without starting the agent."


@click.group()
def cli() -> None:
    """Run the agent of one VM or check its settings."""


@cli.command(help=RUN_HELP)
@click_options(AgentSettings)
def run(**flags: str | None) -> None:
    """Run the agent."""
    _disable_tls()
    from briardeal_agent.commands import run as command

    command.run(load_or_exit(AgentSettings, flags))


@cli.command("check-settings", help=CHECK_HELP)
@click_options(AgentSettings)
def check_settings(**flags: str | None) -> None:
    """Check the settings."""
    load_or_exit(AgentSettings, flags)
    click.echo("Settings are valid.")


def _disable_tls() -> None:
    # The agent uses no TLS. asyncio runs without the ssl module, which would take an eighth of the
    # memory that a node may spend on control.
    sys.modules["ssl"] = None


if __name__ == "__main__":
    cli()
