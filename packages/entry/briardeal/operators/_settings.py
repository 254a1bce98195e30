"""The settings class of the operators' commands."""

from __future__ import annotations

import getpass

import attrs

from briardeal_core.settings import Settings, address, name, option


def _author(text: str) -> str:
    return name(text or getpass.getuser())


@attrs.frozen
class OperatorSettings(Settings):
    """Everything that an operator's command is told."""

    entry: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8080", text="HTTP address of an entry."
    )
    """Any entry, or the balancer in front of them."""

    author: str = option(
        _author,
        allowed="a name",
        default="",
        text="Who makes the change; the login name when empty.",
    )
    """Name that others see beside a change."""
