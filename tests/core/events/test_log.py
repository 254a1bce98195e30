"""Log destinations of one process."""

from __future__ import annotations

from briardeal_core.events import (
    Event,
    add_log_destination,
    log_event,
    remove_log_destination,
)


def test_destination_receives_no_lines_of_earlier_tests():
    collected = []
    log_event(Event.RECORD_BROKEN, key="earlier")
    add_log_destination(collected.append)
    log_event(Event.RECORD_BROKEN, key="later")
    remove_log_destination(collected.append)
    assert [line["key"] for line in collected] == ["later"]
