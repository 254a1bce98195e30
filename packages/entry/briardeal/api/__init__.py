"""The HTTP API for callers, operators and the balancer."""

from briardeal.api._app import create_app
from briardeal.api._replies import RefusalBody

__all__ = ["RefusalBody", "create_app"]
