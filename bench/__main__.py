"""Runs every measurement, prints one table and fails past a bound."""

from __future__ import annotations

import importlib
import sys

import click

from bench.figures import render_table

GROUPS = ["agent_process"]
"""Modules of this package with a `measure() -> list[Figure]`, in the order of the table."""


@click.command()
@click.argument("groups", nargs=-1)
def main(groups: tuple[str, ...]) -> None:
    """Measure the named groups, or all of them."""
    figures = []
    for group in groups or GROUPS:
        figures.extend(importlib.import_module(f"bench.{group}").measure())
    click.echo(render_table(figures))
    passed = sum(figure.passed for figure in figures)
    click.echo(f"bench: {passed} passed, {len(figures) - passed} failed")
    sys.exit(0 if passed == len(figures) else 1)


if __name__ == "__main__":
    main()
