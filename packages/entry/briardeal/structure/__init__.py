"""The entry as a service."""

from briardeal.structure._entry import Entry

__all__ = ["Entry"]
