"""A stand-in endpoint that draws samples and books boats."""

from briardeal_standins.endpoint._endpoint import StandinEndpoint
from briardeal_standins.endpoint._memory import Fault, MemoryEndpoint, MemoryEndpointClient, Run

__all__ = ["Fault", "MemoryEndpoint", "MemoryEndpointClient", "Run", "StandinEndpoint"]
