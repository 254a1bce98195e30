"""Commands that show and change the configuration."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

import click
import msgspec

from briardeal.operators import OperatorClient, Refused

if TYPE_CHECKING:
    from pathlib import Path

    from briardeal.operators import OperatorSettings

REFUSED_EXIT_CODE = 1


def apply(settings: OperatorSettings, file: Path, expected_version: int | None) -> None:
    """Publish a file; the expected version defaults to the one in force."""
    asyncio.run(_apply(OperatorClient(settings), file, expected_version))


def replace_lost(settings: OperatorSettings, file: Path) -> None:
    """Publish a file after the log has lost the records of the last version."""
    asyncio.run(_put(OperatorClient(settings), "/v1/configuration/lost", file))


def show(settings: OperatorSettings) -> None:
    """Print the configuration in force as YAML."""
    shown = _get(settings, "/v1/configuration")
    click.echo(f"# version {shown['version']} by {shown['author'] or 'nobody'}")
    if shown["unreadable_version"] is not None:
        click.echo(f"# version {shown['unreadable_version']} is too new for this entry")
    click.echo(msgspec.yaml.encode(shown["configuration"]).decode(), nl=False)


def diff(settings: OperatorSettings, old: int, new: int) -> None:
    """Print the differences between two versions."""
    for sentence in _get(settings, f"/v1/configuration/diff?old={old}&new={new}")["changes"]:
        click.echo(sentence)


def history(settings: OperatorSettings) -> None:
    """Print the latest changes, oldest first."""
    for item in _get(settings, "/v1/configuration/history"):
        outcome = (
            f"became version {item['version']}"
            if item["version"]
            else "lost to a concurrent change"
        )
        click.echo(f"A change by {item['author']} {outcome}.")


async def _apply(client: OperatorClient, file: Path, expected_version: int | None) -> None:
    if expected_version is None:
        shown = _or_exit(await client.get("/v1/configuration"))
        expected_version = shown["version"]
    await _put(client, f"/v1/configuration?expected_version={expected_version}", file)


async def _put(client: OperatorClient, path: str, file: Path) -> None:
    accepted = _or_exit(await client.put(path, file.read_text()))
    click.echo(f"Accepted as version {accepted['version']}.")


def _get(settings: OperatorSettings, path: str) -> Any:
    return _or_exit(asyncio.run(OperatorClient(settings).get(path)))


def _or_exit(outcome: Any | Refused) -> Any:
    if isinstance(outcome, Refused):
        click.echo(f"{outcome.reason}: {outcome.message}", err=True)
        sys.exit(REFUSED_EXIT_CODE)
    return outcome
