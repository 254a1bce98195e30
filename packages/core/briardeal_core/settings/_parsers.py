"""Parsers for the text of a setting; each raises `ValueError` for text that is not allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PORT = 65_535

T = TypeVar("T")


def positive(kind: Callable[[str], T]) -> Callable[[str], T]:
    """Return a parser for finite numbers above 0 of the given type."""

    def parse(text: str) -> T:
        value = kind(text)
        if not 0 < value < float("inf"):
            raise ValueError(f"{text!r} is not a finite number above 0")
        return value

    return parse


def address(text: str) -> str:
    """Validate an `IP:PORT` address and return it unchanged."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address of the form IP:PORT")
    return text


def optional_address(text: str) -> str | None:
    """Validate an `IP:PORT` address and return it; return `None` for empty text."""
    return address(text) if text else None


def addresses(text: str) -> tuple[str, ...]:
    """Return the `IP:PORT` addresses of a list separated by commas, which may be empty."""
    return tuple(address(part.strip()) for part in text.split(",") if part)


def name(text: str) -> str:
    """Return a name; it must not be empty or have leading or trailing white space."""
    if not text or text.strip() != text:
        raise ValueError(f"{text!r} is empty or has leading or trailing white space")
    return text


def count(text: str) -> int:
    """Return an integer that is not negative."""
    if int(text) < 0:
        raise ValueError(f"{text!r} is negative")
    return int(text)


def fraction(text: str) -> float:
    """Return a number from 0 to 1."""
    if not 0 <= float(text) <= 1:
        raise ValueError(f"{text!r} is not a number from 0 to 1")
    return float(text)
