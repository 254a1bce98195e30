"""Access to the store through another entry while the store fails calls of this entry."""

from briardeal_workflow.relay._client import RelayedStore
from briardeal_workflow.relay._server import RelayServer

__all__ = ["RelayServer", "RelayedStore"]
