"""Runs all measurements in parallel, prints the figures, and fails if one exceeds its bound."""

from __future__ import annotations

import importlib
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import TYPE_CHECKING, Any

import click

from bench.figures import render_table
from bench.known_red import load_known_red

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from bench.figures import Figure

GROUPS = [
    "jobs",
    "recovery",
    "workflow",
    "agent_process",
    "entry_process",
    "log",
    "requests",
    "peers",
    "ownership",
    "owner_state",
]
"""Modules of this package with measurements, ordered from the longest to the shortest.

A module has either `measure() -> list[Figure]`, or `parts()`, which returns functions that can run
in parallel, and `combine(results) -> list[Figure]`.
"""


@click.command()
@click.argument("groups", nargs=-1)
def main(groups: tuple[str, ...]) -> None:
    """Measure the named groups, or all of them, on half of the processors."""
    figures = []
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        futures_by_group = {group: _submit(pool, group) for group in groups or GROUPS}
        group_by_future = {
            future: group for group, futures in futures_by_group.items() for future in futures
        }
        for _ in as_completed(group_by_future):
            for group, futures in list(futures_by_group.items()):
                if all(future.done() for future in futures):
                    del futures_by_group[group]
                    figures.extend(_print_group(group, futures))
    sys.exit(0 if _report(figures, complete=not groups) else 1)


def run_timed(part: Callable[[], Any]) -> tuple[Any, float]:
    """Run a part of a measurement and return its result and its duration in seconds."""
    began_s = time.perf_counter()
    return part(), time.perf_counter() - began_s


def _submit(pool: ProcessPoolExecutor, group: str) -> list[Future[tuple[Any, float]]]:
    module = importlib.import_module(f"bench.{group}")
    parts = module.parts() if hasattr(module, "parts") else [module.measure]
    return [pool.submit(run_timed, part) for part in parts]


def _print_group(group: str, futures: list[Future[tuple[Any, float]]]) -> list[Figure]:
    module = importlib.import_module(f"bench.{group}")
    results = [future.result() for future in futures]
    values = [result for result, _ in results]
    figures = module.combine(values) if hasattr(module, "combine") else values[0]
    click.echo(render_table(figures))
    click.echo(f"bench: {group} took {sum(took_s for _, took_s in results):.0f} s", nl=True)
    return figures


def _report(figures: list[Figure], complete: bool) -> bool:
    known_red = {check for check in load_known_red() if check.startswith("bench: ")}
    by_check = {f"bench: {figure.group}: {figure.name}": figure for figure in figures}
    assert len(by_check) == len(figures), "two figures have the same name"
    failing = {check for check, figure in by_check.items() if not figure.passed}
    expected = known_red if complete else known_red & by_check.keys()
    for check in sorted(failing & expected):
        click.echo(f"known red, as expected: {check}")
    for check in sorted(expected - failing):
        click.echo(f"known red, but it passes or was not measured: {check}")
    unexpected = failing ^ expected
    click.echo(f"bench: {len(by_check.keys() - failing)} passed, {len(unexpected)} failed")
    return not unexpected


if __name__ == "__main__":
    main()
