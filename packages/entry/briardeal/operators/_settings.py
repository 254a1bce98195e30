"""Settings class of the operators' commands."""

from __future__ import annotations

import getpass

import attrs

from briardeal_core.settings import Settings, address, name, option


def _parse_author(text: str) -> str:
    return name(text or getpass.getuser())


@attrs.frozen
class OperatorSettings(Settings):
    """Settings of the operators' commands."""

    entry: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8080", text="HTTP address of an entry."
    )
    """HTTP address of any entry or of the load balancer."""

    author: str = option(
        _parse_author,
        allowed="a name",
        default="",
        text="Author of the change; the login name if empty.",
    )
    """Name recorded as the author of a change."""
