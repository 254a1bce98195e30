"""Checks of the outcomes that operators received, independent of the code under test."""

from __future__ import annotations

import msgspec

from briardeal_core.configuration.store import Accepted, Conflict
from briardeal_core.reasons import RunState

IN_FORCE_WITHIN_S = 6.0


def find_winners(recorded):
    """Return the winners as `{version: author}` from the raw entries, ignoring duplicates."""
    winners, in_force, seen = {}, 0, set()
    for offset, append_id, record in recorded:
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
    """Fail unless each outcome agrees with the log; each change has its own author."""
    authors = list(winners.values())
    assert len(authors) == len(set(authors))
    for author, outcome in outcomes:
        if isinstance(outcome, Accepted):
            assert winners[outcome.version] == author
        elif isinstance(outcome, Conflict) or outcome.run_state is RunState.NOT_RUN:
            assert author not in authors


def check_versions(samples):
    """Fail if the version of a process decreases or is behind another process for over 6 s.

    `samples` holds `(time_s, {process: version})`; a restarted process has a new name.
    """
    newest = {}
    for time_s, versions in samples:
        for process, version in versions.items():
            assert version >= newest.get(process, 0), (time_s, process)
            newest[process] = version
    for index, (time_s, versions) in enumerate(samples):
        later = next(
            (item for item in samples[index:] if item[0] >= time_s + IN_FORCE_WITHIN_S), None
        )
        if later is None:
            return
        known = [version for process, version in versions.items() if process in later[1]]
        for process in versions.keys() & later[1].keys():
            assert later[1][process] >= max(known), (time_s, process)
