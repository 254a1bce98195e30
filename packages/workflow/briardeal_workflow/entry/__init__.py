"""An entry put together from its parts."""

from briardeal_workflow.entry._entry import Entry

__all__ = ["Entry"]
