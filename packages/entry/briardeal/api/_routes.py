"""Base class of the groups of routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal.api._replies import reply_refusal

if TYPE_CHECKING:
    from aiohttp import web

    from briardeal.structure import Entry
    from briardeal_core.reasons import Refusal


class Routes:
    """Base class for a group of routes of one entry.

    Parameters
    ----------
    entry
        Entry that the routes act on.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry

    def refuse(self, refusal: Refusal) -> web.Response:
        """Count a refusal that the HTTP API itself decided on and return its response."""
        self.entry.metrics.count_refusal(refusal.reason)
        return reply_refusal(refusal)
