"""Answers to callers who submit jobs, ask for them, or cancel them."""

from briardeal_workflow.gateway._gateway import Gateway, Submitted

__all__ = ["Gateway", "Submitted"]
