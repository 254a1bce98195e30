"""The generated pages match the code, and its events and reasons are unique and used."""

from __future__ import annotations

import re
from collections import Counter
from pathlib import Path

import pytest

from briardeal_core.events import Event
from briardeal_core.reasons import Reason
from briardeal_standins.pages import PAGES

ROOT = Path(__file__).parents[2]
SOURCES = (ROOT / "packages", ROOT / "platform" / "briardeal_platform")
USER_GUIDE = ROOT / "docs" / "user-guide"


@pytest.mark.parametrize("name", PAGES)
def test_pages_match_the_code(name):
    assert (USER_GUIDE / name).read_text() == PAGES[name](), "run `make pages`"


def test_event_numbers_are_unique():
    numbers = Counter(event.number for event in Event)
    assert [number for number, count in numbers.items() if count > 1] == []


@pytest.mark.parametrize("catalogue", [Event, Reason])
def test_every_event_and_reason_is_used(catalogue):
    paths = (path for folder in SOURCES for path in folder.rglob("*.py"))
    sources = "\n".join(path.read_text() for path in paths)
    names = [f"{catalogue.__name__}.{member.name}" for member in catalogue]
    assert [name for name in names if not re.search(rf"\b{name}\b", sources)] == []
