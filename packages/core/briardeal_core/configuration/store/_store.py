"""Changes, history and the version in force, for one process."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
from mode import Service

from briardeal_core.clock import WallClock, loop_time
from briardeal_core.configuration.store._archive import ConfigurationHistory
from briardeal_core.configuration.store._diff import describe_changes
from briardeal_core.configuration.store._force import ConfigurationInForce
from briardeal_core.configuration.store._outcomes import (
    Accepted,
    ConfigurationStatus,
    Conflict,
)
from briardeal_core.configuration.store._records import (
    CONFIGURATION_FORMAT,
    CONFIGURATION_SCHEMA,
    ConfigurationPublished,
)
from briardeal_core.configuration.store._verdicts import PendingChanges
from briardeal_core.configuration.store._view import ConfigurationView
from briardeal_core.events import Event, log_event
from briardeal_core.log import (
    FollowerState,
    RoleClaim,
    SnapshotStream,
    SnapshotWriter,
    StreamFollower,
    StreamReader,
    StreamWriter,
)
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    import random

    from briardeal_core.clock import Clock
    from briardeal_core.configuration._model import Configuration
    from briardeal_core.configuration.store._force import Listener
    from briardeal_core.configuration.store._records import VersionedConfiguration
    from briardeal_core.log import AppendRateLimiter, Log

STREAM = "configuration"
APPLY_DEADLINE_S = 10.0
SNAPSHOT_INTERVAL_S = 6 * 3600.0
MAX_BODY_BYTES = 500_000


class ConfigurationStore(Service):
    """Publishes changes to the log and keeps the newest configuration in force.

    Parameters
    ----------
    log
        The log.
    name
        Name of this process, unique among those that live.
    rate_limiter
        Rate shared by all writers of the process.
    rng
        Source of identifiers and jitter.
    clock
        Wall time.
    snapshot_interval_s
        Oldest that the newest snapshot may become; a quarter of the log's retention.

    Attributes
    ----------
    in_force
        What is in force in this process.
    history
        Earlier versions and their differences.
    """

    def __init__(
        self,
        log: Log,
        name: str,
        rate_limiter: AppendRateLimiter,
        rng: random.Random,
        clock: Clock | None = None,
        snapshot_interval_s: float = SNAPSHOT_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.rng = rng
        self.clock = WallClock() if clock is None else clock
        self.in_force = ConfigurationInForce()
        self.view = ConfigurationView(self._take_in)
        self.history = ConfigurationHistory(log, STREAM, self.view, self.in_force)
        self.pending = PendingChanges()
        self.writer = StreamWriter(
            log, STREAM, CONFIGURATION_SCHEMA, rate_limiter, rng, batch_limit_records=1
        )
        reader = StreamReader(log, STREAM, CONFIGURATION_SCHEMA)
        snapshots = SnapshotStream(log, f"{STREAM}.snapshots", rate_limiter, rng)
        self.follower = StreamFollower(reader, snapshots, self.view, rng)
        claim = RoleClaim(log, f"{STREAM}.claims", "snapshots", name, rate_limiter, rng)
        self.snapshot_writer = SnapshotWriter(
            self.follower, claim, rng, interval_s=snapshot_interval_s, clock=self.clock
        )

    def on_init_dependencies(self) -> list[Service]:
        """Return the parts that start and stop with the store."""
        return [self.writer, self.follower, self.snapshot_writer]

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; empty before the first."""
        return self.in_force.configuration

    @property
    def version(self) -> int:
        """The highest version that this process was ever shown; 0 before the first."""
        return self.in_force.version

    def subscribe(self, listener: Listener) -> None:
        """Call a function with each configuration that comes into force."""
        self.in_force.subscribe(listener)

    async def apply(
        self,
        configuration: Configuration,
        expected_version: int,
        author: str,
        deadline_s: float = APPLY_DEADLINE_S,
    ) -> Accepted | Conflict | Refusal:
        """Replace the configuration, provided that a given version is still in force.

        Parameters
        ----------
        configuration
            The new configuration, checked.
        expected_version
            The version that the author has seen; 0 for the first.
        author
            Who makes the change.
        deadline_s
            Seconds after which an answer is given in any case.

        Returns
        -------
        Accepted | Conflict | Refusal
            `Accepted` only once the change was read back from the log as the winner. A refusal
            with `unknown` leaves open whether it won; the same change may be sent again, since
            only one of the two can win.
        """
        if expected_version < self.version:
            return self._conflict(expected_version)
        if not self.follower.is_consistent:
            return self._refuse_unread()
        return await self._publish(configuration, expected_version, author, deadline_s)

    async def replace_lost(
        self, configuration: Configuration, author: str, deadline_s: float = APPLY_DEADLINE_S
    ) -> Accepted | Conflict | Refusal:
        """Start again from a given configuration after the log has lost what led to the last."""
        if self.follower.progress is not FollowerState.GAP:
            return Refusal(Reason.CONFIGURATION_NOT_LOST, RunState.NOT_RUN)
        return await self._publish(configuration, None, author, deadline_s)

    def offer(self, offered: VersionedConfiguration) -> bool:
        """Take a version from a peer; return whether it is newer than what is in force."""
        self.pending.settle_offered(offered)
        newer = self.in_force.offer(offered)
        mends = offered.folded_to > 0 and self.follower.can_resume(offered.folded_to)
        if mends and offered.version >= self.version:
            self.view.adopt(offered)
            self.follower.resume(offered.folded_to)
        return newer

    def newest(self) -> VersionedConfiguration | None:
        """Return what is in force, with how much of the log this process has read."""
        newest = self.in_force.newest
        if newest is None:
            return None
        knows_log = self.follower.is_consistent and newest.version == self.view.version
        return msgspec.structs.replace(newest, folded_to=self.follower.offset if knows_log else 0)

    @property
    def version_for_peers(self) -> int:
        """The version that peers should better; one less where their log position helps too."""
        in_gap = self.follower.progress is FollowerState.GAP
        return self.version - 1 if in_gap else self.version

    def status(self) -> ConfigurationStatus:
        """Return what is in force and how old it is."""
        newest = self.in_force.readable
        accepted_at_s = 0.0 if newest is None else newest.accepted_at_s
        unreadable = self.version if newest is not self.in_force.newest else None
        return ConfigurationStatus(
            version=0 if newest is None else newest.version,
            author="" if newest is None else newest.author,
            accepted_at_s=accepted_at_s,
            age_s=0.0 if newest is None else self.clock.now_s() - accepted_at_s,
            unconfirmed_s=self.follower.age_s(),
            unreadable_version=unreadable,
        )

    async def _publish(
        self,
        configuration: Configuration,
        expected_version: int | None,
        author: str,
        deadline_s: float,
    ) -> Accepted | Conflict | Refusal:
        body = msgspec.msgpack.encode(configuration)
        if len(body) > MAX_BODY_BYTES:
            detail = f"It takes {len(body)} bytes; allowed: {MAX_BODY_BYTES}."
            return Refusal(Reason.CONFIGURATION_INVALID, RunState.NOT_RUN, detail=detail)
        change = ConfigurationPublished(
            change_id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            expected_version=expected_version,
            author=author,
            format=CONFIGURATION_FORMAT,
            body=body,
        )
        try:
            return await self._settle(change, deadline_s)
        finally:
            self.pending.discard(change.change_id)

    async def _settle(
        self, change: ConfigurationPublished, deadline_s: float
    ) -> Accepted | Conflict | Refusal:
        verdict = self.pending.add(change.change_id, change.expected_version)
        deadline_at_s = loop_time() + deadline_s
        appending = asyncio.create_task(self.writer.append(change, deadline_s=deadline_s))
        await asyncio.wait({appending, verdict}, return_when=asyncio.FIRST_COMPLETED)
        if not verdict.done():
            written = await appending
            if isinstance(written, Refusal) and written.run_state is RunState.NOT_RUN:
                return written
            if change.expected_version is None and not isinstance(written, Refusal):
                self.follower.resume(written.offset)
            left_s = max(0.0, deadline_at_s - loop_time())
            await asyncio.wait({verdict}, timeout=left_s)
        appending.cancel()
        if not verdict.done():
            return Refusal(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)
        outcome = verdict.result()
        if isinstance(outcome, Accepted):
            return outcome
        log_event(Event.CONFIGURATION_LOST, author=change.author)
        return self._conflict(change.expected_version)

    def _conflict(self, expected_version: int | None) -> Conflict:
        newest = self.in_force.newest
        if newest is None:
            return Conflict(0, "nobody")
        before = None if expected_version is None else self.in_force.recent.get(expected_version)
        old, new = (None if item is None else item.decode() for item in (before, newest))
        changes = describe_changes(old, new) if old is not None and new is not None else ()
        return Conflict(newest.version, newest.author, changes)

    def _refuse_unread(self) -> Refusal:
        in_gap = self.follower.progress is FollowerState.GAP
        reason = Reason.LOG_GAP if in_gap else Reason.LOG_UNAVAILABLE
        return Refusal(reason, RunState.NOT_RUN, retry_after_s=APPLY_DEADLINE_S)

    def _take_in(self) -> None:
        """Put the newest version into force, but none of those passed on the way to it."""
        if self.view.newest is not None and self.follower.age_s() is not None:
            self.in_force.offer(self.view.newest)
        self.pending.settle_read(self.view)

    @Service.task
    async def _start_from_log(self) -> None:
        await self.follower.wait_current()
        self._take_in()
