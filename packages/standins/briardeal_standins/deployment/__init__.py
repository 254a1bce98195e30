"""Deployment of entries and agents of several regions in one event loop."""

from briardeal_standins.deployment._deployment import Deployment

__all__ = ["Deployment"]
