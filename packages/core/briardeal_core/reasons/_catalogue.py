"""The catalogue of reasons, each with a sentence for readers without technical background."""

from __future__ import annotations

import enum


class Reason(enum.Enum):
    """A reason code; its value is the sentence shown to people."""

    NO_ENDPOINT = "No endpoint of this service is reachable at the moment."
    ENDPOINTS_BUSY = "All endpoints of this service are busy."
    ENDPOINT_FAILED = "The endpoint failed while it processed the request."
    ENDPOINT_LEAVING = "The endpoint is shutting down and accepts no new requests."
    ENDPOINT_REPLACED = "The endpoint has restarted since the request was addressed to it."
    ANSWER_CUT = "The answer ended before it was complete."
    DEADLINE_PASSED = "The time that the caller allowed has passed."
    KEY_REQUIRED = "This service needs an idempotency key with each request."
    KEY_NOT_ISSUED = "The idempotency key was not issued by this system."
    KEY_EXPIRED = "The idempotency key is older than the time for which keys are stored."
    KEY_HOME_LOST = "The process that stored this idempotency key no longer runs."
    KEY_IN_USE = "The request with this idempotency key is still running."
    RETRY_BUDGET_SPENT = "The share of requests that are being retried is already at its limit."
    SHUTTING_DOWN = "This entry is shutting down."
    REQUEST_INVALID = "The request does not conform to the API."
    JOB_UNKNOWN = "No job of this name is known."
    JOB_NEVER_FITS = "No set of the existing VMs can run a job of this shape."
    LOG_UNAVAILABLE = "The platform's log does not answer, so no work can be accepted."
    LOG_BACKLOG = "Too many records already wait to be written to the platform's log."
    LOG_GAP = "The platform's log no longer has some records that this process has not read."
    LOG_ANSWER_LOST = "The platform's log did not confirm in time that it stored the record."
    CONFIGURATION_INVALID = "The configuration has mistakes, so nothing was changed."
    CONFIGURATION_CONFLICT = "Another operator changed the configuration first."
    CONFIGURATION_NOT_LOST = "Nothing is missing from the platform's log, so nothing was replaced."
    CONFIGURATION_VERSION_UNKNOWN = "No configuration of this version is stored."
    AGENT_SILENT = "The agent of the endpoint did not answer."
    ENDPOINT_DECLINED = "The endpoint rejected the request before it began to process it."
    ENTRY_DELAYED = "This entry was delayed and could not send the request in time."
    KEY_MISMATCH = "The idempotency key was used for another request."
    KEY_ANSWER_DROPPED = "The request ran, but its answer is no longer stored."
    KEYS_FULL = "Too many idempotency keys are stored to accept another one."
    ENTRY_UNREACHABLE = "The entry that has to answer is unreachable at the moment."
    FORWARD_LOST = "The request was forwarded to another entry, and no answer came back."
    FORWARD_LIMIT = "The request was forwarded between entries too often."
    JOB_KEY_REUSED = "Another job was submitted with this idempotency key before."
    JOB_ENDED = "The job has already finished."
    WORKER_LOST = "The VM of a task was lost, so the whole job is restarted."
    TASK_FAILED = "A task of the job failed, so the job is retried on other VMs."
    GANG_NOT_WHOLE = "Not every task of the job could start, so none of it ran."
    INTERNAL_ERROR = "This entry had an internal error."

    @property
    def code(self) -> str:
        """The code in answers and metrics: the name in lower case."""
        return self.name.lower()

    @property
    def sentence(self) -> str:
        """The sentence shown to people."""
        return self.value
