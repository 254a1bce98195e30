"""Idempotency keys, each bound to the entry that issued it."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from typing import TYPE_CHECKING

import attrs

from briardeal.requests._key_store import KeyStore, Outcome
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal.requests._request import Request

KEY_TTL_S = 600.0
"""Time after its issue for which a key is valid and its record is stored, in seconds."""

KEY_VERSION = "k1"
KEY_RANDOM_BYTES = 6
SECRET_BYTES = 32
MAC_BYTES = 9
FINGERPRINT_BYTES = 12
IN_USE_RETRY_AFTER_S = 1.0


@attrs.frozen
class IdempotencyKey:
    """An idempotency key.

    Parameters
    ----------
    entry_id, incarnation
        Entry that issued the key; only this incarnation of it may run the request.
    issued_s
        Time of issue, in whole seconds since the epoch.
    random
        Random text that makes the key unique.
    mac
        Message authentication code, by which the issuing entry recognizes the key.
    """

    entry_id: str
    incarnation: int
    issued_s: int
    random: str
    mac: str = ""

    def __str__(self) -> str:
        return f"{self.signed_text}~{self.mac}"

    @property
    def signed_text(self) -> str:
        """Text that the message authentication code covers."""
        parts = (KEY_VERSION, self.entry_id, self.incarnation, self.issued_s, self.random)
        return "~".join(str(part) for part in parts)

    @classmethod
    def parse(cls, text: str) -> IdempotencyKey | None:
        """Parse the text form of a key; return `None` if it is malformed."""
        parts = text.rsplit("~", 4)
        version, _, entry_id = parts[0].partition("~")
        if len(parts) != 5 or version != KEY_VERSION or not entry_id:
            return None
        if not (_is_number(parts[1]) and _is_number(parts[2])):
            return None
        return cls(entry_id, int(parts[1]), int(parts[2]), parts[3], parts[4])


class IdempotencyKeys:
    """Issues idempotency keys and runs the request of each key at most once.

    Parameters
    ----------
    entry_id, incarnation
        Identifier and incarnation of this entry.
    now_s
        Returns the wall time in seconds.
    store
        Requests and outcomes of used keys.
    """

    def __init__(
        self,
        entry_id: str,
        incarnation: int,
        now_s: Callable[[], float],
        store: KeyStore | None = None,
    ) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.now_s = now_s
        self.store = store or KeyStore()
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self) -> IdempotencyKey:
        """Return a new key."""
        random = secrets.token_hex(KEY_RANDOM_BYTES)
        key = IdempotencyKey(self.entry_id, self.incarnation, int(self.now_s()), random)
        return attrs.evolve(key, mac=self._mac(key))

    def is_issued_here(self, key: IdempotencyKey) -> bool:
        """Return whether the key names this entry in this incarnation as its issuer."""
        return (key.entry_id, key.incarnation) == (self.entry_id, self.incarnation)

    async def run_once(
        self, key: IdempotencyKey, request: Request, run: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Run a request if its key is unused; otherwise return the stored outcome."""
        if not secrets.compare_digest(key.mac.encode(), self._mac(key).encode()):
            return Refusal(Reason.KEY_NOT_ISSUED, RunState.NOT_RUN)
        self.store.remove_expired(self.now_s())
        fingerprint = _fingerprint(request)
        record = self.store.records.get(str(key))
        if record is not None and record.fingerprint != fingerprint:
            return Refusal(Reason.KEY_MISMATCH, RunState.NOT_RUN)
        if record is not None:
            return record.outcome or Refusal(
                Reason.KEY_IN_USE, RunState.UNKNOWN, IN_USE_RETRY_AFTER_S
            )
        expires_s = key.issued_s + KEY_TTL_S
        if expires_s <= self.now_s():
            return Refusal(Reason.KEY_EXPIRED, RunState.UNKNOWN)
        if self.store.is_full:
            retry_after_s = self.store.next_expiry_s() - self.now_s()
            return Refusal(Reason.KEYS_FULL, RunState.NOT_RUN, max(1.0, retry_after_s))
        self.store.add(str(key), fingerprint, expires_s)
        return await asyncio.shield(asyncio.create_task(self._run_and_record(str(key), run)))

    async def _run_and_record(self, name: str, run: Callable[[], Awaitable[Outcome]]) -> Outcome:
        outcome: Outcome = Refusal(Reason.ENDPOINT_FAILED, RunState.UNKNOWN)
        try:
            outcome = await run()
        finally:
            self.store.record_outcome(name, outcome)
        return outcome

    def _mac(self, key: IdempotencyKey) -> str:
        text = key.signed_text.encode()
        return hashlib.blake2b(text, key=self._secret, digest_size=MAC_BYTES).hexdigest()


def _fingerprint(request: Request) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.service, request.customer, request.content_type):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(request.body)
    return digest.digest()


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
