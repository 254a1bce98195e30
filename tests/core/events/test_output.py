"""Log output to readers that read, stall or close the stream, and under a flood of events."""

from __future__ import annotations

import os

import msgspec
import pytest

from briardeal_core.events import Event, LogOutput
from briardeal_core.events._output import BUFFER_LIMIT_BYTES, LINES_PER_SECOND

PIPE_BYTES = 65_536
"""Capacity of a pipe."""


class Reader:
    """The reading end of a pipe, with the output that writes to it and its clock."""

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
    created = Reader()
    yield created
    os.close(created.output.descriptor)
    if created.end is not None:
        os.close(created.end)


def test_event_is_one_line_of_json(reader):
    reader.write(job_id="a1", reason="log_unavailable", task_uuid="x", task_level=[1])
    (line,) = reader.read()
    assert line == {
        "message_type": "job_refused",
        "event": 401,
        "job_id": "a1",
        "reason": "log_unavailable",
    }


def test_flood_of_one_event_is_counted_and_does_not_affect_others(reader):
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


def test_stalled_reader_bounds_buffer_and_gets_number_of_dropped_lines(reader):
    written = 0
    for second in range(100):
        reader.now_s = float(second)
        for number in range(LINES_PER_SECOND):
            reader.write(job_id=str(number), detail="x" * 100)
            written += 1
    assert reader.output._buffer_bytes <= BUFFER_LIMIT_BYTES
    assert reader.output.dropped > 0
    read = reader.read()
    reader.now_s += 1.0
    reader.write(Event.OWNER_CLAIMS)
    after_stall = reader.read()
    dropped = [line["lines"] for line in after_stall if line["message_type"] == "lines_dropped"]
    refused = [line for line in read if line["message_type"] == "job_refused"]
    assert sum(dropped) == written - len(refused)


def test_stalled_reader_gets_only_complete_lines(reader):
    for second in range(60):
        reader.now_s = float(second)
        for number in range(LINES_PER_SECOND):
            reader.write(job_id=str(number), detail="y" * 150)
    assert all(line["event"] for line in reader.read())


def test_closed_reader_does_not_raise(reader):
    os.close(reader.end)
    reader.end = None
    for _ in range(10):
        reader.write(job_id="a1")
    assert reader.output.dropped == 10
