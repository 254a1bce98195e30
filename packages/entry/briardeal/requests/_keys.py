"""Idempotency keys, each bound to the entry that issued it."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import attrs

from briardeal.requests._request import Answer
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

KEY_TTL_S = 600.0
KEY_VERSION = "k1"
KEY_RANDOM_BYTES = 9
IN_USE_RETRY_S = 1.0

Outcome = Answer | Refusal


@attrs.frozen
class IssuedKey:
    """An idempotency key.

    Parameters
    ----------
    entry_id, incarnation
        The entry that issued it, the only one that may let its request run.
    issued_s
        When it was issued, in whole seconds since the epoch.
    random
        Text that makes it unique.
    """

    entry_id: str
    incarnation: int
    issued_s: int
    random: str

    def __str__(self) -> str:
        parts = (KEY_VERSION, self.entry_id, self.incarnation, self.issued_s, self.random)
        return "~".join(str(part) for part in parts)

    @classmethod
    def parse(cls, text: str) -> IssuedKey | None:
        """Return the key in a text, or `None` where it is none of ours."""
        parts = text.split("~")
        if len(parts) != 5 or parts[0] != KEY_VERSION:
            return None
        if not (parts[2].isdigit() and parts[3].isdigit()):
            return None
        return cls(parts[1], int(parts[2]), int(parts[3]), parts[4])


@attrs.define
class KeyRecord:
    """What became of a key.

    Parameters
    ----------
    expires_s
        When it is forgotten, on the wall clock.
    outcome
        The final outcome; `None` while the request runs.
    """

    expires_s: float
    outcome: Outcome | None = None


class Keys:
    """The keys that one entry issued and what became of each.

    Parameters
    ----------
    entry_id, incarnation
        This entry.
    now_s
        Wall time in seconds.
    """

    def __init__(self, entry_id: str, incarnation: int, now_s: Callable[[], float]) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.now_s = now_s
        self.records: dict[str, KeyRecord] = {}

    def issue(self) -> IssuedKey:
        """Return a new key."""
        random = secrets.token_urlsafe(KEY_RANDOM_BYTES).replace("~", "-")
        return IssuedKey(self.entry_id, self.incarnation, int(self.now_s()), random)

    def is_home(self, key: IssuedKey) -> bool:
        """Return whether this entry, in this incarnation, issued the key."""
        return (key.entry_id, key.incarnation) == (self.entry_id, self.incarnation)

    async def run_once(self, key: IssuedKey, run: Callable[[], Awaitable[Outcome]]) -> Outcome:
        """Run a request unless its key was used; give a repeated key the same outcome."""
        self._expire()
        if key.issued_s + KEY_TTL_S <= self.now_s():
            return Refusal(Reason.KEY_EXPIRED, RunState.UNKNOWN)
        record = self.records.get(str(key))
        if record is not None and record.outcome is None:
            return Refusal(Reason.KEY_IN_USE, RunState.UNKNOWN, IN_USE_RETRY_S)
        if record is not None:
            return record.outcome
        return await asyncio.shield(asyncio.create_task(self._run(str(key), key, run)))

    async def _run(
        self, name: str, key: IssuedKey, run: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        record = KeyRecord(key.issued_s + KEY_TTL_S)
        self.records[name] = record
        outcome = await run()
        if isinstance(outcome, Refusal) and outcome.run_state is RunState.NOT_RUN:
            del self.records[name]
        else:
            record.outcome = outcome
        return outcome

    def _expire(self) -> None:
        now_s = self.now_s()
        for name in [name for name, record in self.records.items() if record.expires_s <= now_s]:
            if self.records[name].outcome is not None:
                del self.records[name]
