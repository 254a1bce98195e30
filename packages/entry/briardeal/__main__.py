"""Command line of the entry and of operators."""

from __future__ import annotations

import click

from briardeal.config import EntrySettings
from briardeal_core.settings import click_options, load_or_exit

SERVE_HELP = "Run an entry between callers and endpoints."
CHECK_HELP = "Check the settings without starting."


@click.group()
def cli() -> None:
    """Scheduler for multi-accelerator jobs held to customer guarantees."""


@cli.command(help=SERVE_HELP)
@click_options(EntrySettings)
def serve(**flags: str | None) -> None:
    """Run an entry."""
    from briardeal.commands import serve as command

    command.serve(load_or_exit(EntrySettings, flags))


@cli.command("check-settings", help=CHECK_HELP)
@click_options(EntrySettings)
def check_settings(**flags: str | None) -> None:
    """Check the settings."""
    load_or_exit(EntrySettings, flags)
    click.echo("The settings are right.")


if __name__ == "__main__":
    cli()
