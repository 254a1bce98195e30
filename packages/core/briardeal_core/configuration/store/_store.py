"""Service that publishes configuration changes and follows them in one process."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
from mode import Service

from briardeal_core.clock import WallClock, loop_time
from briardeal_core.configuration.store._diff import describe_changes
from briardeal_core.configuration.store._history import ConfigurationHistory
from briardeal_core.configuration.store._in_force import ConfigurationInForce
from briardeal_core.configuration.store._outcomes import (
    Accepted,
    ConfigurationStatus,
    Conflict,
)
from briardeal_core.configuration.store._pending_changes import PendingChanges
from briardeal_core.configuration.store._records import (
    CONFIGURATION_FORMAT,
    CONFIGURATION_SCHEMA,
    ConfigurationPublished,
)
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
    from briardeal_core.configuration.store._in_force import Listener
    from briardeal_core.configuration.store._records import VersionedConfiguration
    from briardeal_core.log import AppendRateLimiter, Log

STREAM = "configuration"
APPLY_DEADLINE_S = 10.0
SNAPSHOT_INTERVAL_S = 6 * 3600.0
MAX_BODY_BYTES = 500_000


class ConfigurationStore(Service):
    """Publishes changes to the log and puts the newest configuration into force.

    Parameters
    ----------
    log
        The log.
    name
        Name of this process, unique among the running processes.
    rate_limiter
        Rate limiter shared by all writers of the process.
    rng
        Random source of identifiers and jitter.
    clock
        Wall clock.
    snapshot_interval_s
        Maximum age of the newest snapshot, in seconds; a quarter of the retention of the log.

    Attributes
    ----------
    in_force
        The configuration in force in this process.
    history
        Earlier versions and the differences between them.
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
        self.view = ConfigurationView(self._activate_newest)
        self.history = ConfigurationHistory(log, STREAM, self.view, self.in_force)
        self.pending_changes = PendingChanges()
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
        """Return the services that start and stop with the store."""
        return [self.writer, self.follower, self.snapshot_writer]

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; empty before the first."""
        return self.in_force.configuration

    @property
    def version(self) -> int:
        """The highest version that this process has received; 0 before the first."""
        return self.in_force.version

    def subscribe(self, listener: Listener) -> None:
        """Register a function that is called with each configuration that comes into force."""
        self.in_force.subscribe(listener)

    async def apply(
        self,
        configuration: Configuration,
        expected_version: int,
        author: str,
        deadline_s: float = APPLY_DEADLINE_S,
    ) -> Accepted | Conflict | Refusal:
        """Replace the configuration if the expected version is still in force.

        Parameters
        ----------
        configuration
            The new configuration, already validated.
        expected_version
            The version on which the change is based; 0 for the first configuration.
        author
            Author of the change.
        deadline_s
            Time from now after which the call returns in any case, in seconds.

        Returns
        -------
        Accepted | Conflict | Refusal
            `Accepted` only after the change was read back from the log as the winner. After a
            refusal with the run state `unknown` the change may or may not have won; it may be
            sent again, since only one of the two changes can win.
        """
        if expected_version < self.version:
            return self._conflict(expected_version)
        if not self.follower.is_consistent:
            return self._refuse_log_unread()
        return await self._publish(configuration, expected_version, author, deadline_s)

    async def replace_lost(
        self, configuration: Configuration, author: str, deadline_s: float = APPLY_DEADLINE_S
    ) -> Accepted | Conflict | Refusal:
        """Replace the configuration after the log has lost the changes that led to it."""
        if self.follower.progress is not FollowerState.GAP:
            return Refusal(Reason.CONFIGURATION_NOT_LOST, RunState.NOT_RUN)
        return await self._publish(configuration, None, author, deadline_s)

    def offer(self, offered: VersionedConfiguration) -> bool:
        """Apply a version from a peer; return whether it is newer than the one in force."""
        self.pending_changes.resolve_from_peer(offered)
        newer = self.in_force.offer(offered)
        closes_gap = offered.folded_to > 0 and self.follower.can_resume(offered.folded_to)
        if closes_gap and offered.version >= self.version:
            self.view.adopt(offered)
            self.follower.resume(offered.folded_to)
        return newer

    def newest(self) -> VersionedConfiguration | None:
        """Return the newest version for peers, with the log offset up to which it was read."""
        newest = self.in_force.newest
        if newest is None:
            return None
        has_read_log = self.follower.is_consistent and newest.version == self.view.version
        return msgspec.structs.replace(
            newest, folded_to=self.follower.offset if has_read_log else 0
        )

    @property
    def version_for_peers(self) -> int:
        """The version that is sent to peers; only a peer with a higher one is asked for its own.

        During a gap it is one less than the version in force, so that a peer with the same version
        is asked as well: its log position may close the gap.
        """
        in_gap = self.follower.progress is FollowerState.GAP
        return self.version - 1 if in_gap else self.version

    def status(self) -> ConfigurationStatus:
        """Return the status of the configuration in force."""
        newest = self.in_force.newest_readable
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
            detail = f"The configuration has {len(body)} bytes; allowed: at most {MAX_BODY_BYTES}."
            return Refusal(Reason.CONFIGURATION_INVALID, RunState.NOT_RUN, detail=detail)
        change = ConfigurationPublished(
            change_id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            expected_version=expected_version,
            author=author,
            format=CONFIGURATION_FORMAT,
            body=body,
        )
        try:
            return await self._append_and_wait(change, deadline_s)
        finally:
            self.pending_changes.discard(change.change_id)

    async def _append_and_wait(
        self, change: ConfigurationPublished, deadline_s: float
    ) -> Accepted | Conflict | Refusal:
        future = self.pending_changes.add(change.change_id, change.expected_version)
        deadline_at_s = loop_time() + deadline_s
        appending = asyncio.create_task(self.writer.append(change, deadline_s=deadline_s))
        await asyncio.wait({appending, future}, return_when=asyncio.FIRST_COMPLETED)
        if not future.done():
            written = await appending
            if isinstance(written, Refusal) and written.run_state is RunState.NOT_RUN:
                return written
            if change.expected_version is None and not isinstance(written, Refusal):
                self.follower.resume(written.offset)
            left_s = max(0.0, deadline_at_s - loop_time())
            await asyncio.wait({future}, timeout=left_s)
        appending.cancel()
        if not future.done():
            return Refusal(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)
        outcome = future.result()
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

    def _refuse_log_unread(self) -> Refusal:
        in_gap = self.follower.progress is FollowerState.GAP
        reason = Reason.LOG_GAP if in_gap else Reason.LOG_UNAVAILABLE
        return Refusal(reason, RunState.NOT_RUN, retry_after_s=APPLY_DEADLINE_S)

    def _activate_newest(self) -> None:
        """Put the newest version into force.

        Before the end of the log was reached once, nothing is put into force, so that no earlier
        version takes effect on the way there.
        """
        if self.view.newest is not None and self.follower.age_s() is not None:
            self.in_force.offer(self.view.newest)
        self.pending_changes.resolve_from_log(self.view)

    @Service.task
    async def _activate_after_first_read(self) -> None:
        await self.follower.wait_current()
        self._activate_newest()
