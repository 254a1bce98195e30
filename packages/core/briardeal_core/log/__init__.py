"""The platform's append-only log: what it offers and what is kept on it."""

from briardeal_core.log._model import Appended, Batch, Entry, Log, LogUnavailable, PastRetention

__all__ = ["Appended", "Batch", "Entry", "Log", "LogUnavailable", "PastRetention"]
