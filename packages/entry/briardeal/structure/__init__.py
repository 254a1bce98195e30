"""The entry, composed of its services."""

from briardeal.structure._entry import Entry

__all__ = ["Entry"]
