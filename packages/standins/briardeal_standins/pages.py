"""Pages of the documentation that are rendered from the code."""

from __future__ import annotations

from pathlib import Path

import click

from briardeal.config import EntrySettings
from briardeal.operators import OperatorSettings
from briardeal_agent.config import AgentSettings
from briardeal_core.catalogues import render_events, render_reasons
from briardeal_core.settings import render_settings

SETTINGS_HEAD = """# Settings

Every setting is a flag and an environment variable; the flag goes first. All settings are checked
at the start: every mistake is listed with the setting, the value and what is allowed, and the
process does not start. `briardeal check-settings` and `briardeal-agent check-settings` do the check
alone.

"""


def render_settings_page() -> str:
    """Return the page of settings."""
    tables = (
        render_settings("The entry: `briardeal serve`", EntrySettings),
        render_settings("The agent: `briardeal-agent run`", AgentSettings),
        render_settings("Operators' commands", OperatorSettings),
    )
    return SETTINGS_HEAD + "\n".join(tables)


PAGES = {
    "events.md": render_events,
    "reasons.md": render_reasons,
    "settings.md": render_settings_page,
}
"""The function that renders each page."""


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True, path_type=Path))
def main(folder: Path) -> None:
    """Write all pages into FOLDER."""
    for name, render in PAGES.items():
        (folder / name).write_text(render())


if __name__ == "__main__":
    main()
