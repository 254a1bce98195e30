"""Parsers of the text of a setting; each raises `ValueError` for what is not allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PORT = 65_535

T = TypeVar("T")


def positive(kind: Callable[[str], T]) -> Callable[[str], T]:
    """Return a parser for numbers of the given kind above zero."""

    def parse(text: str) -> T:
        value = kind(text)
        if not 0 < value < float("inf"):
            raise ValueError(text)
        return value

    return parse


def address(text: str) -> str:
    """Check an `IP:PORT` address and return it unchanged."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(text)
    return text


def optional_address(text: str) -> str | None:
    """Check an `IP:PORT` address, where nothing stands for none."""
    return address(text) if text else None


def addresses(text: str) -> tuple[str, ...]:
    """Split a list of `IP:PORT` addresses at its commas; nothing stands for none."""
    return tuple(address(part.strip()) for part in text.split(",") if part)


def name(text: str) -> str:
    """Check a name: not empty and without white space around it."""
    if not text or text.strip() != text:
        raise ValueError(text)
    return text


def count(text: str) -> int:
    """Return a whole number that is not negative."""
    if int(text) < 0:
        raise ValueError(text)
    return int(text)


def fraction(text: str) -> float:
    """Return a number between 0 and 1."""
    if not 0 <= float(text) <= 1:
        raise ValueError(text)
    return float(text)
