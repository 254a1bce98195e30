"""Typed options that check themselves and report every mistake at once."""

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
    """Base of the settings classes.

    A subclass declares one field per setting with `option` and may override `cross_check` for
    mistakes that involve several settings.
    """

    def cross_check(self) -> Validation:
        """Return the mistakes and warnings that involve more than one setting."""
        return Validation()


@attrs.frozen
class Validation:
    """Mistakes and warnings found in a set of settings.

    Parameters
    ----------
    errors
        One sentence per mistake; the process must not start.
    warnings
        One sentence per doubtful value; the process may start.
    """

    errors: list[str] = attrs.field(factory=list)
    warnings: list[str] = attrs.field(factory=list)


def option(parse: Callable[[str], T], *, allowed: str, default: str | None = None, text: str) -> T:
    """Declare a setting.

    Parameters
    ----------
    parse
        Turns the text of a flag or variable into a value; raises `ValueError` when it can't.
    allowed
        What is allowed, for the error message.
    default
        Text used when neither flag nor variable is given; `None` makes the setting required.
    text
        Help text of the flag.
    """
    metadata = {"parse": parse, "allowed": allowed, "default": default, "text": text}
    return attrs.field(metadata=metadata)


def click_options(settings: type[Settings]) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that adds one flag per setting to a click command."""

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
    """Read settings from flags, then variables, then defaults.

    Returns
    -------
    tuple
        The settings, or `None` where any is wrong, and everything that was found.
    """
    environ = os.environ if environ is None else environ
    values: dict[str, Any] = {}
    found = Validation()
    for field in attrs.fields(settings):
        text = flags.get(field.name)
        if text is None:
            text = environ.get(variable_name(field.name), field.metadata["default"])
        _parse_field(field, text, values, found)
    found.warnings.extend(_unknown_variables(settings, environ))
    if found.errors:
        return None, found
    loaded = settings(**values)
    crossed = loaded.cross_check()
    found.errors.extend(crossed.errors)
    found.warnings.extend(crossed.warnings)
    return (None if found.errors else loaded), found


def _parse_field(
    field: attrs.Attribute[Any], text: str | None, values: dict[str, Any], found: Validation
) -> None:
    allowed = field.metadata["allowed"]
    if text is None:
        found.errors.append(f"{variable_name(field.name)} is not set; allowed: {allowed}.")
        return
    try:
        values[field.name] = field.metadata["parse"](text)
    except ValueError:
        found.errors.append(f"{variable_name(field.name)} is {text!r}; allowed: {allowed}.")


def _unknown_variables(settings: type[Settings], environ: Mapping[str, str]) -> list[str]:
    known = {variable_name(field.name) for field in attrs.fields(settings)}
    unknown = sorted(name for name in environ if name.startswith(ENV_PREFIX) and name not in known)
    return [f"{name} is not a setting of this program." for name in unknown]


def variable_name(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENV_PREFIX + name.upper()
