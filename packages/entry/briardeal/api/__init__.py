"""HTTP API for callers, operators and the load balancer."""

from briardeal.api._app import create_app
from briardeal.api._replies import RefusalBody

__all__ = ["RefusalBody", "create_app"]
