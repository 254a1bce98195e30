"""Command line of the entry and of operators."""

from __future__ import annotations

from pathlib import Path

import click

from briardeal.config import EntrySettings
from briardeal.operators import OperatorSettings
from briardeal_core.settings import click_options, load_or_exit

SERVE_HELP = "Run an entry."
CHECK_HELP = "Check the settings without starting."
CONFIG_HELP = "Show and change classes, targets, customers and guarantees."
APPLY_HELP = "Publish FILE as the new configuration."
EXPECTED_VERSION_HELP = "Version that FILE is based on; the version in force if omitted."
REPLACE_LOST_HELP = "Publish FILE after the log has lost the records of the last version."
SHOW_HELP = "Print the configuration in force."
DIFF_HELP = "Print the differences between versions OLD and NEW."
HISTORY_HELP = "Print the latest changes and their outcomes."
EXPLAIN_HELP = "Explain why a job ran, waits, was stopped or was refused."
LOG_HELP = "Read log lines from FILE instead of querying an entry; may be repeated."


@click.group()
def cli() -> None:
    """Scheduler for multi-accelerator jobs with customer guarantees."""


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
    click.echo("Settings are valid.")


@cli.group(help=CONFIG_HELP)
def config() -> None:
    """Show and change the configuration."""


@config.command("apply", help=APPLY_HELP)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--expected-version", type=click.IntRange(0), help=EXPECTED_VERSION_HELP)
@click_options(OperatorSettings)
def apply(file: Path, expected_version: int | None, **flags: str | None) -> None:
    """Publish a configuration."""
    from briardeal.commands import config as command

    command.apply(load_or_exit(OperatorSettings, flags), file, expected_version)


@config.command("replace-lost", help=REPLACE_LOST_HELP)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click_options(OperatorSettings)
def replace_lost(file: Path, **flags: str | None) -> None:
    """Publish a configuration to replace a lost one."""
    from briardeal.commands import config as command

    command.replace_lost(load_or_exit(OperatorSettings, flags), file)


@config.command(help=SHOW_HELP)
@click_options(OperatorSettings)
def show(**flags: str | None) -> None:
    """Print the configuration in force."""
    from briardeal.commands import config as command

    command.show(load_or_exit(OperatorSettings, flags))


@config.command(help=DIFF_HELP)
@click.argument("old", type=click.IntRange(0))
@click.argument("new", type=click.IntRange(0))
@click_options(OperatorSettings)
def diff(old: int, new: int, **flags: str | None) -> None:
    """Print the differences between two versions."""
    from briardeal.commands import config as command

    command.diff(load_or_exit(OperatorSettings, flags), old, new)


@config.command(help=HISTORY_HELP)
@click_options(OperatorSettings)
def history(**flags: str | None) -> None:
    """Print the latest changes."""
    from briardeal.commands import config as command

    command.history(load_or_exit(OperatorSettings, flags))


@cli.command(help=EXPLAIN_HELP)
@click.argument("job_id")
@click.option(
    "--log",
    "files",
    metavar="FILE",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help=LOG_HELP,
)
@click_options(OperatorSettings)
def explain(job_id: str, files: tuple[Path, ...], **flags: str | None) -> None:
    """Explain a job."""
    from briardeal.commands import explain as command

    if files:
        command.explain_from_log(files, job_id)
        return
    command.explain(load_or_exit(OperatorSettings, flags), job_id)


if __name__ == "__main__":
    cli()
