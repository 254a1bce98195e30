"""Answers to callers who submit jobs, ask for them, or cancel them."""

from briardeal_workflow.gateway._gateway import RETRY_AFTER_S, Gateway, Submitted

__all__ = ["RETRY_AFTER_S", "Gateway", "Submitted"]
