"""The HTTP API for callers, operators and the balancer."""

from briardeal.api._app import create_app

__all__ = ["create_app"]
