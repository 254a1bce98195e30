"""What all groups of routes have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal.api._replies import reply_refusal

if TYPE_CHECKING:
    from aiohttp import web

    from briardeal.structure import Entry
    from briardeal_core.reasons import Refusal


class Routes:
    """A group of routes of one entry.

    Parameters
    ----------
    entry
        The entry.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry

    def refuse(self, refusal: Refusal) -> web.Response:
        """Count a refusal that was made here and return its answer."""
        self.entry.metrics.count_refusal(refusal.reason)
        return reply_refusal(refusal)
