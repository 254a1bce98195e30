"""Settings of the entry."""

from briardeal.config._settings import EntrySettings

__all__ = ["EntrySettings"]
