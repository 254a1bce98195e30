"""Runs every measurement, prints one table and fails past a bound."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING

import click

from bench.figures import render_table
from bench.known_red import load_known_red

if TYPE_CHECKING:
    from bench.figures import Figure

GROUPS = [
    "agent_process",
    "entry_process",
    "log",
    "requests",
    "peers",
    "ownership",
    "owner_state",
    "recovery",
    "jobs",
]
"""Modules of this package with a `measure() -> list[Figure]`, in the order of the table."""


@click.command()
@click.argument("groups", nargs=-1)
def main(groups: tuple[str, ...]) -> None:
    """Measure the named groups, or all of them."""
    figures = []
    for group in groups or GROUPS:
        figures.extend(importlib.import_module(f"bench.{group}").measure())
    click.echo(render_table(figures))
    sys.exit(0 if _report(figures, complete=not groups) else 1)


def _report(figures: list[Figure], complete: bool) -> bool:
    known_red = {check for check in load_known_red() if check.startswith("bench: ")}
    by_check = {f"bench: {figure.group}: {figure.name}": figure for figure in figures}
    assert len(by_check) == len(figures), "two figures have one name"
    red = {check for check, figure in by_check.items() if not figure.passed}
    expected = known_red if complete else known_red & by_check.keys()
    for check in sorted(red & expected):
        click.echo(f"known red, as expected: {check}")
    for check in sorted(expected - red):
        click.echo(f"known red, but it passes or was not measured: {check}")
    failed = red ^ expected
    click.echo(f"bench: {len(by_check.keys() - red)} passed, {len(failed)} failed")
    return not failed


if __name__ == "__main__":
    main()
