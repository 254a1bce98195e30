"""Loading of settings by a command."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, TypeVar

import click

from briardeal_core.settings._options import Settings, load_settings

if TYPE_CHECKING:
    from collections.abc import Mapping

SETTINGS_EXIT_CODE = 2

S = TypeVar("S", bound=Settings)


def load_or_exit(settings: type[S], flags: Mapping[str, str | None]) -> S:
    """Return the settings, or print every mistake and exit the process with status 2."""
    loaded, validation = load_settings(settings, flags)
    for message in validation.warnings:
        click.echo(f"warning: {message}", err=True)
    for message in validation.errors:
        click.echo(f"error: {message}", err=True)
    if loaded is None:
        sys.exit(SETTINGS_EXIT_CODE)
    return loaded
