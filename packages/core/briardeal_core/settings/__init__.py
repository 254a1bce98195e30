"""Settings from flags and environment variables, all of which are validated at the start."""

from briardeal_core.settings._command import load_or_exit
from briardeal_core.settings._options import (
    Settings,
    Validation,
    click_options,
    load_settings,
    option,
)
from briardeal_core.settings._page import render_settings
from briardeal_core.settings._parsers import (
    address,
    addresses,
    count,
    fraction,
    name,
    optional_address,
    positive,
)

__all__ = [
    "Settings",
    "Validation",
    "address",
    "addresses",
    "click_options",
    "count",
    "fraction",
    "load_or_exit",
    "load_settings",
    "name",
    "option",
    "optional_address",
    "positive",
    "render_settings",
]
