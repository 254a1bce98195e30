"""Access to the store through another entry while direct calls of this entry fail."""

from briardeal_workflow.relay._client import RelayedStore
from briardeal_workflow.relay._server import RelayServer

__all__ = ["RelayServer", "RelayedStore"]
