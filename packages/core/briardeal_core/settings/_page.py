"""Rendering of the documentation of settings as Markdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.settings._options import variable_name

if TYPE_CHECKING:
    from briardeal_core.settings._options import Settings


def render_settings(title: str, settings: type[Settings]) -> str:
    """Return a Markdown section with a table of the settings of one program."""
    rows = [_render_row(field) for field in attrs.fields(settings)]
    header = (
        f"## {title}\n\n| Variable | Allowed | Default | Meaning |\n| --- | --- | --- | --- |\n"
    )
    return header + "\n".join(rows) + "\n"


def _render_row(field: attrs.Attribute) -> str:
    default = field.metadata["default"]
    shown = "required" if default is None else f"`{default}`" if default else "none"
    name, allowed = variable_name(field.name), field.metadata["allowed"]
    return f"| `{name}` | {allowed} | {shown} | {field.metadata['text']} |"
