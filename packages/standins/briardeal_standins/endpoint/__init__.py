"""A stand-in endpoint that draws samples and books boats."""

from briardeal_standins.endpoint._endpoint import StandinEndpoint

__all__ = ["StandinEndpoint"]
