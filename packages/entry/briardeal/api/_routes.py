"""What all groups of routes have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal.structure import Entry


class Routes:
    """A group of routes of one entry.

    Parameters
    ----------
    entry
        The entry.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
