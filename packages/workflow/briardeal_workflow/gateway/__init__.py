"""Handling of requests to submit, look up and cancel jobs."""

from briardeal_workflow.gateway._admission import AdmissionControl
from briardeal_workflow.gateway._gateway import RETRY_AFTER_S, Gateway, Submitted

__all__ = ["RETRY_AFTER_S", "AdmissionControl", "Gateway", "Submitted"]
