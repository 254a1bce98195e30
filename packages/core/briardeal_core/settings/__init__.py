"""Settings read from flags and environment variables, checked in whole."""

from briardeal_core.settings._options import (
    Settings,
    Validation,
    address,
    click_options,
    load_settings,
    option,
    positive,
)

__all__ = [
    "Settings",
    "Validation",
    "address",
    "click_options",
    "load_settings",
    "option",
    "positive",
]
