"""Admission of jobs by their expected completion, without any I/O."""

from briardeal_workflow.admission._decision import URGENT, Admission, AdmissionPolicy, Decision
from briardeal_workflow.admission._estimate import Estimate, estimate_end
from briardeal_workflow.admission._fit import MIN_KNOWN_S, find_misfit
from briardeal_workflow.admission._summary import (
    MAX_BANDS,
    MAX_CLASSES,
    MAX_CUSTOMERS,
    MAX_LABELS,
    MAX_NAME_CHARS,
    MAX_SERVICES,
    MAX_SHAPES,
    MAX_SUMMARY_AGE_S,
    MAX_SUMMARY_BYTES,
    SERVED_LAST_S,
    AdmissionSummary,
    ClassSummary,
    LabelledVms,
    ServiceSummary,
    SummaryCache,
    VmShape,
    WaitingWork,
    encoded_bytes,
)

__all__ = [
    "MAX_BANDS",
    "MAX_CLASSES",
    "MAX_CUSTOMERS",
    "MAX_LABELS",
    "MAX_NAME_CHARS",
    "MAX_SERVICES",
    "MAX_SHAPES",
    "MAX_SUMMARY_AGE_S",
    "MAX_SUMMARY_BYTES",
    "MIN_KNOWN_S",
    "SERVED_LAST_S",
    "URGENT",
    "Admission",
    "AdmissionPolicy",
    "AdmissionSummary",
    "ClassSummary",
    "Decision",
    "Estimate",
    "LabelledVms",
    "ServiceSummary",
    "SummaryCache",
    "VmShape",
    "WaitingWork",
    "encoded_bytes",
    "estimate_end",
    "find_misfit",
]
