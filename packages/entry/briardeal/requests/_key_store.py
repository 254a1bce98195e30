"""What became of idempotency keys, in bounded memory."""

from __future__ import annotations

from collections import deque

import attrs
from sortedcontainers import SortedKeyList

from briardeal.requests._request import Answer
from briardeal_core.reasons import Reason, Refusal, RunState

RECORD_LIMIT = 20_000
"""Most keys that are remembered."""

ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
"""Most bytes of answers that are kept for repeated keys."""

Outcome = Answer | Refusal


@attrs.define(eq=False)
class KeyRecord:
    """What became of a key.

    Parameters
    ----------
    name
        The key.
    fingerprint
        Digest of the request that it was used for.
    expires_s
        When it is forgotten, on the wall clock.
    outcome
        The final outcome; `None` while the request runs.
    """

    name: str
    fingerprint: bytes
    expires_s: float
    outcome: Outcome | None = None


class KeyStore:
    """Records of keys.

    Answers are dropped before records, oldest first, so that a repeated key is told that its
    request ran also where the answer is gone. A request that is certain not to have run leaves no
    record.

    Parameters
    ----------
    record_limit
        Most records.
    answer_limit_bytes
        Most bytes of answers.

    Attributes
    ----------
    answer_bytes
        Bytes of the answers that are kept.
    """

    def __init__(
        self, record_limit: int = RECORD_LIMIT, answer_limit_bytes: int = ANSWER_LIMIT_BYTES
    ) -> None:
        self.record_limit = record_limit
        self.answer_limit_bytes = answer_limit_bytes
        self.records: dict[str, KeyRecord] = {}
        self.by_expiry = SortedKeyList(key=lambda record: record.expires_s)
        self.answered: deque[KeyRecord] = deque()
        self.answer_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether no further key can be remembered."""
        return len(self.records) >= self.record_limit

    def next_expiry_s(self) -> float:
        """Return when the oldest key is forgotten, on the wall clock."""
        return self.by_expiry[0].expires_s

    def begin(self, name: str, fingerprint: bytes, expires_s: float) -> None:
        """Remember that the request of a key runs."""
        record = KeyRecord(name, fingerprint, expires_s)
        self.records[name] = record
        self.by_expiry.add(record)

    def finish(self, name: str, outcome: Outcome) -> None:
        """Remember the outcome of a key, or forget the key where its request did not run."""
        record = self.records[name]
        if isinstance(outcome, Refusal) and outcome.run_state is RunState.NOT_RUN:
            self._drop(record)
            return
        record.outcome = outcome
        if isinstance(outcome, Answer):
            self.answered.append(record)
            self.answer_bytes += len(outcome.body)
            self._drop_answers()

    def forget(self, now_s: float) -> None:
        """Forget the keys whose time has passed, but for those whose request still runs."""
        expired = self.by_expiry.irange_key(max_key=now_s)
        for record in [record for record in expired if record.outcome is not None]:
            self._drop(record)

    def _drop(self, record: KeyRecord) -> None:
        del self.records[record.name]
        self.by_expiry.remove(record)
        if isinstance(record.outcome, Answer):
            self.answered.remove(record)
            self.answer_bytes -= len(record.outcome.body)

    def _drop_answers(self) -> None:
        while self.answer_bytes > self.answer_limit_bytes:
            record = self.answered.popleft()
            self.answer_bytes -= len(record.outcome.body)
            record.outcome = Refusal(Reason.KEY_ANSWER_DROPPED, RunState.RAN)
