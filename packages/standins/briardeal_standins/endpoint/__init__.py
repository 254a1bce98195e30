"""Stand-in endpoints, as a process over HTTP and in memory."""

from briardeal_standins.endpoint._endpoint import StandinEndpoint
from briardeal_standins.endpoint._memory import (
    Fault,
    MemoryEndpoint,
    MemoryEndpointClient,
    RequestRun,
)

__all__ = ["Fault", "MemoryEndpoint", "MemoryEndpointClient", "RequestRun", "StandinEndpoint"]
