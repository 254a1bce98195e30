"""Declaration and validation of settings, which reports every mistake at once."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import click

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

ENV_PREFIX = "BRIARDEAL_"

T = TypeVar("T")
S = TypeVar("S", bound="Settings")


@attrs.frozen
class Settings:
    """Base class of settings.

    A subclass declares one field per setting with `option` and may override `cross_check` to
    validate combinations of settings.
    """

    def cross_check(self) -> Validation:
        """Return the mistakes and warnings that involve several settings."""
        return Validation()


@attrs.frozen
class Validation:
    """Mistakes and warnings found in a set of settings.

    Parameters
    ----------
    errors
        One sentence per mistake; the process must not start.
    warnings
        One sentence per questionable setting; the process may start.
    """

    errors: list[str] = attrs.field(factory=list)
    warnings: list[str] = attrs.field(factory=list)


def option(parse: Callable[[str], T], *, allowed: str, default: str | None = None, text: str) -> T:
    """Declare a setting.

    Parameters
    ----------
    parse
        Converts the text of a flag or variable to a value; raises `ValueError` for invalid text.
    allowed
        Description of the allowed values, for error messages and the documentation.
    default
        Text used if neither flag nor variable is given; `None` makes the setting required.
    text
        Help text of the flag.
    """
    metadata = {"parse": parse, "allowed": allowed, "default": default, "text": text}
    return attrs.field(metadata=metadata)


def click_options(settings: type[Settings]) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that adds a flag for each setting to a click command."""

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        for field in reversed(attrs.fields(settings)):
            flag = "--" + field.name.replace("_", "-")
            default = field.metadata["default"]
            shown = "required" if default is None else f"default {default!r}"
            text = f"{field.metadata['text']} [{variable_name(field.name)}, {shown}]"
            command = click.option(flag, field.name, help=text)(command)
        return command

    return decorate


def load_settings(
    settings: type[S],
    flags: Mapping[str, str | None],
    environ: Mapping[str, str] | None = None,
) -> tuple[S | None, Validation]:
    """Read each setting from its flag, else its environment variable, else its default.

    Parameters
    ----------
    settings
        Class of the settings.
    flags
        Text of each flag by name of the setting; `None` for a flag that is not given.
    environ
        Environment variables; by default those of the process.

    Returns
    -------
    tuple
        The settings, or `None` if there are mistakes, and all mistakes and warnings.
    """
    environ = os.environ if environ is None else environ
    values: dict[str, Any] = {}
    validation = Validation()
    for field in attrs.fields(settings):
        text = flags.get(field.name)
        if text is None:
            text = environ.get(variable_name(field.name), field.metadata["default"])
        _parse_field(field, text, values, validation)
    validation.warnings.extend(_unknown_variables(settings, environ))
    if validation.errors:
        return None, validation
    loaded = settings(**values)
    cross_checked = loaded.cross_check()
    validation.errors.extend(cross_checked.errors)
    validation.warnings.extend(cross_checked.warnings)
    return (None if validation.errors else loaded), validation


def _parse_field(
    field: attrs.Attribute[Any], text: str | None, values: dict[str, Any], validation: Validation
) -> None:
    allowed = field.metadata["allowed"]
    if text is None:
        validation.errors.append(f"{variable_name(field.name)} is not set; allowed: {allowed}.")
        return
    try:
        values[field.name] = field.metadata["parse"](text)
    except ValueError:
        validation.errors.append(f"{variable_name(field.name)} is {text!r}; allowed: {allowed}.")


def _unknown_variables(settings: type[Settings], environ: Mapping[str, str]) -> list[str]:
    known = {variable_name(field.name) for field in attrs.fields(settings)}
    unknown = sorted(name for name in environ if name.startswith(ENV_PREFIX) and name not in known)
    return [f"{name} is not a setting of this program." for name in unknown]


def variable_name(name: str) -> str:
    """Return the name of the environment variable of a setting."""
    return ENV_PREFIX + name.upper()
