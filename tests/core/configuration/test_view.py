"""All readers agree on the winners of every short sequence of changes and duplicates."""

from __future__ import annotations

from itertools import product

import pytest

from briardeal_core.configuration.store import ConfigurationPublished, ConfigurationView
from briardeal_core.log import StreamRecord

CHANGES = {"a": 0, "b": 0, "c": 1, "d": 2, "e": 3, "lost log": None}
LENGTH = 5


def make_record(offset, change_id):
    change = ConfigurationPublished(
        change_id=change_id,
        expected_version=CHANGES[change_id],
        author=change_id,
        format=1,
        body=b"",
    )
    return StreamRecord(change, offset, str(offset), float(offset))


def build_view(changes, start=0, state=None):
    view = ConfigurationView(lambda: None)
    if state is not None:
        assert view.restore(state)
    for offset in range(start, len(changes)):
        view.apply(make_record(offset, changes[offset]))
    return view


@pytest.mark.parametrize("first", CHANGES)
def test_readers_from_every_snapshot_agree(first):
    for rest in product(CHANGES, repeat=LENGTH - 1):
        changes = (first, *rest)
        full = build_view(changes)
        for start in range(1, LENGTH):
            assert (
                build_view(changes, start, build_view(changes[:start]).dump()).dump() == full.dump()
            )


@pytest.mark.parametrize("first", CHANGES)
def test_change_wins_once_and_only_over_its_expected_version(first):
    for rest in product(CHANGES, repeat=LENGTH - 1):
        in_force, winners, view = 0, [], ConfigurationView(lambda: None)
        for offset, change_id in enumerate((first, *rest)):
            wins = CHANGES[change_id] in (None, in_force)
            in_force = offset + 1 if wins else in_force
            winners += [change_id] if wins else []
            view.apply(make_record(offset, change_id))
            assert view.version == in_force
        ordinary = [change_id for change_id in winners if CHANGES[change_id] is not None]
        assert len(ordinary) == len(set(ordinary))
