"""The catalogue of reasons, each with a sentence for readers without technical background."""

from __future__ import annotations

import enum


class Reason(enum.Enum):
    """A reason code; its value is the sentence shown to people."""

    NO_ENDPOINT = "No endpoint of this service is in reach at the moment."
    ENDPOINTS_BUSY = "All endpoints of this service are busy."
    ENDPOINT_FAILED = "The endpoint failed while it worked on the request."
    ENDPOINT_LEAVING = "The endpoint is leaving and takes no new work."
    ENDPOINT_REPLACED = "The endpoint was restarted since the request was addressed to it."
    ANSWER_CUT = "The answer broke off before its end."
    DEADLINE_PASSED = "The time that the caller allowed has passed."
    KEY_REQUIRED = "This service needs an idempotency key with each request."
    KEY_NOT_ISSUED = "The idempotency key was not issued by this system."
    KEY_EXPIRED = "The idempotency key is older than the time for which keys are remembered."
    KEY_HOME_LOST = "The process that answers for this idempotency key is gone."
    KEY_IN_USE = "The request with this idempotency key is still running."
    RETRY_BUDGET_SPENT = "Too large a share of requests is being sent again already."
    SHUTTING_DOWN = "This entry is shutting down."
    REQUEST_INVALID = "The request is not formed as the API asks."
    JOB_UNKNOWN = "No job of this name is known."
    JOB_NEVER_FITS = "No set of VMs that exists can hold a job of this shape."
    JOB_TOO_LATE = "The job would end so late that its result would be of no use."
    LOG_UNAVAILABLE = "The platform's log does not answer, so nothing can be accepted for keeping."
    LOG_BACKLOG = "Too many records already wait to be written to the platform's log."
    LOG_GAP = "Records that this process has not read are gone from the platform's log."
    LOG_ANSWER_LOST = "The platform's log did not say in time whether it took the record."
    CONFIGURATION_INVALID = "The configuration has mistakes, so nothing was changed."
    CONFIGURATION_CONFLICT = "Another operator changed the configuration first."
    CONFIGURATION_NOT_LOST = "Nothing is missing from the platform's log, so nothing was replaced."
    CONFIGURATION_VERSION_UNKNOWN = "No configuration of this version is kept any more."
    AGENT_SILENT = "The agent beside the endpoint did not answer."
    ENDPOINT_DECLINED = "The endpoint declined the request before it began to work on it."
    ENTRY_DELAYED = "This entry was held up and did not send the request in time."
    KEY_MISMATCH = "The idempotency key was used for another request."
    KEY_ANSWER_DROPPED = "The request ran, but its answer is no longer kept."
    KEYS_FULL = "Too many idempotency keys are remembered to take another request with one."
    ENTRY_UNREACHABLE = "The entry that has to answer is out of reach at the moment."
    FORWARD_LOST = "The request was passed on to another entry, and no answer came back."
    FORWARD_LIMIT = "The request was passed on between entries too often."
    JOB_KEY_REUSED = "Another job was submitted with this idempotency key before."
    JOB_ENDED = "The job has already come to its end."
    WORKER_LOST = "The VM of a task was lost, so the whole job is started again."
    TASK_FAILED = "A task of the job failed, so the job is tried again elsewhere."
    GANG_NOT_WHOLE = "Not every task of the job could start, so none of it ran."
    INTERNAL_ERROR = "This entry met an error of its own."

    @property
    def code(self) -> str:
        """The code in answers and metrics: the name in lower case."""
        return self.name.lower()

    @property
    def sentence(self) -> str:
        """The sentence shown to people."""
        return self.value
