"""Entries and agents of several regions within one process."""

from briardeal_standins.deployment._deployment import Deployment

__all__ = ["Deployment"]
