"""Log output to readers that read, stall or leave, and under a flood of events."""

from __future__ import annotations

import os

import msgspec
import pytest

from briardeal_core.events import Event, LogOutput
from briardeal_core.events._output import LINES_PER_SECOND, WAITING_LIMIT_BYTES

PIPE_BYTES = 65_536
"""What a pipe holds."""


class Reader:
    """A pipe, the output that writes to it, and the clock of that output."""

    def __init__(self):
        self.end, descriptor = os.pipe()
        os.set_blocking(self.end, False)
        self.now_s = 0.0
        self.output = LogOutput(descriptor, lambda: self.now_s)

    def write(self, event=Event.JOB_REFUSED, **fields):
        self.output({"message_type": event.name.lower(), "event": event.number, **fields})

    def read(self):
        text = b""
        while True:
            self.output.flush()
            try:
                part = os.read(self.end, PIPE_BYTES)
            except BlockingIOError:
                return [msgspec.json.decode(line) for line in text.splitlines()]
            text += part


@pytest.fixture
def reader():
    found = Reader()
    yield found
    os.close(found.output.descriptor)
    if found.end is not None:
        os.close(found.end)


def test_an_event_is_one_line_of_json(reader):
    reader.write(job_id="a1", reason="log_unavailable", task_uuid="x", task_level=[1])
    (line,) = reader.read()
    assert line == {
        "message_type": "job_refused",
        "event": 401,
        "job_id": "a1",
        "reason": "log_unavailable",
    }


def test_a_flood_of_one_event_is_summed_up_and_leaves_others_alone(reader):
    for number in range(1000):
        reader.write(job_id=str(number))
    reader.write(Event.OWNER_CLAIMS, epoch=2)
    reader.now_s = 1.0
    reader.write(Event.OWNER_STARTED, epoch=2)
    lines = reader.read()
    names = [line["message_type"] for line in lines]
    assert names.count("job_refused") == LINES_PER_SECOND
    assert names[-3:] == ["owner_claims", "lines_summed_up", "owner_started"]
    assert lines[-2]["of"] == "job_refused"
    assert lines[-2]["lines"] == 1000 - LINES_PER_SECOND


def test_a_reader_that_stalls_bounds_what_waits_and_learns_what_was_dropped(reader):
    written = 0
    for second in range(100):
        reader.now_s = float(second)
        for number in range(LINES_PER_SECOND):
            reader.write(job_id=str(number), detail="x" * 100)
            written += 1
    assert reader.output._waiting_bytes <= WAITING_LIMIT_BYTES
    assert reader.output.dropped > 0
    read = reader.read()
    reader.now_s += 1.0
    reader.write(Event.OWNER_CLAIMS)
    told = reader.read()
    dropped = [line["lines"] for line in told if line["message_type"] == "lines_dropped"]
    refused = [line for line in read if line["message_type"] == "job_refused"]
    assert sum(dropped) == written - len(refused)


def test_a_line_is_never_torn_by_a_reader_that_stalls(reader):
    for second in range(60):
        reader.now_s = float(second)
        for number in range(LINES_PER_SECOND):
            reader.write(job_id=str(number), detail="y" * 150)
    assert all(line["event"] for line in reader.read())


def test_a_reader_that_has_left_stops_nothing(reader):
    os.close(reader.end)
    reader.end = None
    for _ in range(10):
        reader.write(job_id="a1")
    assert reader.output.dropped == 10
