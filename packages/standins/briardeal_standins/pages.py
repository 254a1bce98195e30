"""Renders the pages of the documentation that are generated from the code."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING

import click

from briardeal.config import EntrySettings
from briardeal.operators import OperatorSettings
from briardeal.structure import Entry
from briardeal_agent.config import AgentSettings
from briardeal_agent.structure import Agent
from briardeal_core.catalogues import render_events, render_reasons
from briardeal_core.clock import WallClock
from briardeal_core.settings import load_settings, render_settings
from briardeal_protocol.connections import MemoryNetwork
from briardeal_standins.endpoint import MemoryEndpointClient
from briardeal_standins.log import MemoryLog

if TYPE_CHECKING:
    from briardeal_core.metrics import Metrics

SETTINGS_INTRODUCTION = """# Settings

Every setting is a flag and an environment variable; the flag takes precedence. All settings are
checked at startup: if any is invalid, the process lists each mistake with the setting, its value
and the allowed values, and does not start. `briardeal check-settings` and
`briardeal-agent check-settings` only check the settings.

"""


def render_settings_page() -> str:
    """Return the page that lists the settings."""
    tables = (
        render_settings("The entry: `briardeal serve`", EntrySettings),
        render_settings("The agent: `briardeal-agent run`", AgentSettings),
        render_settings("Operators' commands", OperatorSettings),
    )
    return SETTINGS_INTRODUCTION + "\n".join(tables)


METRICS_INTRODUCTION = """# Metrics

Every process serves its metrics at `/metrics` in the Prometheus text format. `reason` is a code of
the [reasons](reasons.md). The traffic between regions is the part of
`briardeal_peer_bytes_total` whose `region` differs from that of the entry.

"""


def render_metrics_page() -> str:
    """Return the page that lists the metrics."""
    return asyncio.run(_render_metrics())


async def _render_metrics() -> str:
    flags = {"region": "r", "failure_domain": "d", "log": "127.0.0.1:1", "entries": "127.0.0.1:1"}
    entry_settings, _ = load_settings(EntrySettings, {**flags, "entry_id": "e"}, {})
    agent_settings, _ = load_settings(AgentSettings, {**flags, "agent_id": "a"}, {})
    clock, network = WallClock(0.0), MemoryNetwork()
    entry = Entry(entry_settings, network, MemoryLog(), MemoryEndpointClient({}), clock)
    agent = Agent(agent_settings, network, None, clock, random.Random())
    tables = (
        _render_metrics_table("The entry", entry.metrics),
        _render_metrics_table("The agent", agent.metrics),
    )
    return METRICS_INTRODUCTION + "\n".join(tables)


def _render_metrics_table(title: str, metrics: Metrics) -> str:
    rows = [
        f"| `{metric.name}` | {metric.kind} | {metric.meaning} |" for metric in metrics.describe()
    ]
    head = [f"## {title}", "", "| Name | Kind | Meaning |", "| --- | --- | --- |"]
    return "\n".join([*head, *rows]) + "\n"


PAGES = {
    "events.md": render_events,
    "metrics.md": render_metrics_page,
    "reasons.md": render_reasons,
    "settings.md": render_settings_page,
}
"""Functions that render the pages, by file name."""


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True, path_type=Path))
def main(folder: Path) -> None:
    """Write all pages into FOLDER."""
    for name, render in PAGES.items():
        (folder / name).write_text(render())


if __name__ == "__main__":
    main()
