"""Explanation of the outcome of a job from the log lines of all processes."""

from briardeal_workflow.explanation._lines import LogLine, LogLines, read_log
from briardeal_workflow.explanation._timeline import explain_job

__all__ = ["LogLine", "LogLines", "explain_job", "read_log"]
