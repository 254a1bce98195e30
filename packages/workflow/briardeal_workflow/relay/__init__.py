"""The store reached through another entry, while it turns this one away."""

from briardeal_workflow.relay._client import RelayedStore
from briardeal_workflow.relay._server import RelayServer

__all__ = ["RelayServer", "RelayedStore"]
