"""Metrics that are sampled from the services of the entry when metrics are rendered."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.jobs import JobState

if TYPE_CHECKING:
    from briardeal.structure._entry import Entry
    from briardeal_core.log import SnapshotWriter, StreamWriter


class EntryMetrics:
    """Exports counters and state of the services of an entry as metrics.

    Parameters
    ----------
    entry
        Entry whose services are sampled.
    """

    def __init__(self, entry: Entry) -> None:
        self.entry = entry
        metrics = entry.metrics
        self.records = metrics.counter(
            "briardeal_log_records_total", "Records read by stream and what became of them."
        )
        self.uncertain = metrics.counter(
            "briardeal_log_uncertain_appends_total",
            "Appends that were not answered, by stream.",
        )
        self.gaps = metrics.counter(
            "briardeal_log_gaps_total",
            "Times that unread records were gone, by stream.",
        )
        self.written = metrics.counter(
            "briardeal_snapshots_written_total", "Snapshots written by this entry, by stream."
        )
        self.rejected = metrics.counter(
            "briardeal_snapshots_rejected_total", "Damaged snapshots passed over, by stream."
        )
        self.unread_s = metrics.gauge(
            "briardeal_log_unread_seconds",
            "Time since the end of a stream was last seen, by stream; absent before that.",
        )
        self.version = metrics.gauge(
            "briardeal_configuration_version", "Version of the configuration in force."
        )
        self.age_s = metrics.gauge(
            "briardeal_configuration_age_seconds",
            "Time since the version in force was accepted.",
        )
        self.agents = metrics.gauge("briardeal_agents_alive", "Agents whose lease has not lapsed.")
        self.jobs = metrics.gauge("briardeal_jobs", "Jobs that the entry knows, by state.")

    def sample(self) -> None:
        """Set all metrics to the current values."""
        store, jobs = self.entry.configuration, self.entry.jobs
        self._sample_stream(store.snapshot_writer, store.writer)
        self._sample_stream(jobs.snapshot_writer, jobs.writer, jobs.decision_writer)
        status = store.status()
        self.version.set({}, status.version)
        self.age_s.set({}, status.age_s)
        self.agents.set({}, len(self.entry.agent_table.agents))
        states = Counter(view.state for view in jobs.job_table.jobs.values())
        for state in JobState:
            self.jobs.set({"state": state.value}, states[state])

    def _sample_stream(self, snapshot_writer: SnapshotWriter, *writers: StreamWriter) -> None:
        follower = snapshot_writer.follower
        labels = {"stream": follower.reader.stream}
        counts = follower.reader.counts
        outcomes = {
            "taken": counts.records,
            "copy": counts.duplicates,
            "unknown": counts.unknown,
            "broken": counts.broken,
        }
        for outcome, value in outcomes.items():
            self.records.set({**labels, "outcome": outcome}, value)
        self.uncertain.set(labels, sum(writer.uncertain_appends for writer in writers))
        self.gaps.set(labels, follower.gaps)
        self.written.set(labels, snapshot_writer.written)
        self.rejected.set(labels, follower.snapshots.rejected)
        age_s = follower.age_s()
        if age_s is not None:
            self.unread_s.set(labels, age_s)
