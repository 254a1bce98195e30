"""Records of idempotency keys and their outcomes, in bounded memory."""

from __future__ import annotations

from collections import deque

import attrs
from sortedcontainers import SortedKeyList

from briardeal.requests._request import Answer
from briardeal_core.reasons import Reason, Refusal, RunState

RECORD_LIMIT = 20_000
"""Most keys whose records are stored."""

ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
"""Most bytes of answers that are stored for repeated keys."""

Outcome = Answer | Refusal


@attrs.define(eq=False)
class KeyRecord:
    """Request and outcome of one key.

    Parameters
    ----------
    name
        Text form of the key.
    fingerprint
        Digest of the request that the key was used for.
    expires_s
        When the record expires, on the wall clock.
    outcome
        The final outcome; `None` while the request runs.
    """

    name: str
    fingerprint: bytes
    expires_s: float
    outcome: Outcome | None = None


class KeyStore:
    """Records of idempotency keys.

    If the answers exceed their limit, the oldest are dropped and their records stay, so that a
    caller who repeats a key still learns that the request ran. If a request certainly did not
    run, its record is removed.

    Parameters
    ----------
    record_limit
        Most records.
    answer_limit_bytes
        Most bytes of answers.

    Attributes
    ----------
    answer_bytes
        Bytes of the answers that are stored.
    """

    def __init__(
        self, record_limit: int = RECORD_LIMIT, answer_limit_bytes: int = ANSWER_LIMIT_BYTES
    ) -> None:
        self.record_limit = record_limit
        self.answer_limit_bytes = answer_limit_bytes
        self.records: dict[str, KeyRecord] = {}
        self.by_expiry = SortedKeyList(key=lambda record: record.expires_s)
        self.records_with_answer: deque[KeyRecord] = deque()
        self.answer_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the number of records has reached its limit."""
        return len(self.records) >= self.record_limit

    def next_expiry_s(self) -> float:
        """Return when the next record expires, on the wall clock."""
        return self.by_expiry[0].expires_s

    def add(self, name: str, fingerprint: bytes, expires_s: float) -> None:
        """Add a record for a key whose request begins to run."""
        record = KeyRecord(name, fingerprint, expires_s)
        self.records[name] = record
        self.by_expiry.add(record)

    def record_outcome(self, name: str, outcome: Outcome) -> None:
        """Store the outcome of a key, or remove its record if the request did not run."""
        record = self.records[name]
        if isinstance(outcome, Refusal) and outcome.run_state is RunState.NOT_RUN:
            self._remove(record)
            return
        record.outcome = outcome
        if isinstance(outcome, Answer):
            self.records_with_answer.append(record)
            self.answer_bytes += len(outcome.body)
            self._drop_oldest_answers()

    def remove_expired(self, now_s: float) -> None:
        """Remove expired records, except those whose request still runs."""
        expired = self.by_expiry.irange_key(max_key=now_s)
        for record in [record for record in expired if record.outcome is not None]:
            self._remove(record)

    def _remove(self, record: KeyRecord) -> None:
        del self.records[record.name]
        self.by_expiry.remove(record)
        if isinstance(record.outcome, Answer):
            self.records_with_answer.remove(record)
            self.answer_bytes -= len(record.outcome.body)

    def _drop_oldest_answers(self) -> None:
        while self.answer_bytes > self.answer_limit_bytes:
            record = self.records_with_answer.popleft()
            self.answer_bytes -= len(record.outcome.body)
            record.outcome = Refusal(Reason.KEY_ANSWER_DROPPED, RunState.RAN)
