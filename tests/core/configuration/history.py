"""A checker of what operators were told, apart from the code that it checks."""

from __future__ import annotations

import msgspec

from briardeal_core.configuration.store import Accepted, Conflict
from briardeal_core.reasons import RunState

IN_FORCE_WITHIN_S = 6.0


def fold(kept):
    """Return the winners as `{version: author}` from the raw entries, first copies only."""
    winners, in_force, seen = {}, 0, set()
    for offset, append_id, record in kept:
        if append_id in seen:
            continue
        seen.add(append_id)
        _, records = msgspec.msgpack.decode(record)
        change = msgspec.msgpack.decode(msgspec.msgpack.encode(records[0][2]))
        if change["expected_version"] == in_force:
            in_force = offset + 1
            winners[in_force] = change["author"]
    return winners


def check_outcomes(winners, outcomes):
    """Fail unless each author was told the truth; authors are unique to a change."""
    authors = list(winners.values())
    assert len(authors) == len(set(authors))
    for author, outcome in outcomes:
        if isinstance(outcome, Accepted):
            assert winners[outcome.version] == author
        elif isinstance(outcome, Conflict) or outcome.run_state is RunState.NOT_RUN:
            assert author not in authors


def check_versions(samples):
    """Fail if a version falls within a process, or stays behind another for more than 6 s.

    `samples` holds `(time_s, {process: version})`, where a restarted process is a new one.
    """
    newest = {}
    for time_s, versions in samples:
        for process, version in versions.items():
            assert version >= newest.get(process, 0), (time_s, process)
            newest[process] = version
    for index, (time_s, versions) in enumerate(samples):
        due = next(
            (late for late in samples[index:] if late[0] >= time_s + IN_FORCE_WITHIN_S), None
        )
        if due is None:
            return
        known = [version for process, version in versions.items() if process in due[1]]
        for process in versions.keys() & due[1].keys():
            assert due[1][process] >= max(known), (time_s, process)
