"""The composition of an entry, independent of where it runs."""

from briardeal_workflow.entry._entry import Entry

__all__ = ["Entry"]
