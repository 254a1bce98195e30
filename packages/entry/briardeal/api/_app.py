"""The aiohttp application with all routes of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from briardeal.api._configuration import ConfigurationRoutes
from briardeal.api._failures import create_failure_middleware
from briardeal.api._health import HealthRoutes
from briardeal.api._jobs import JobRoutes
from briardeal.api._requests import RequestRoutes

if TYPE_CHECKING:
    from briardeal.structure import Entry

BODY_LIMIT_BYTES = 16 * 1024 * 1024


def create_app(entry: Entry) -> web.Application:
    """Return the aiohttp application of one entry."""
    app = web.Application(
        client_max_size=BODY_LIMIT_BYTES,
        middlewares=[create_failure_middleware(entry.metrics)],
    )
    app.add_routes(HealthRoutes(entry).definitions())
    app.add_routes(RequestRoutes(entry).definitions())
    app.add_routes(JobRoutes(entry).definitions())
    app.add_routes(ConfigurationRoutes(entry).definitions())
    return app
