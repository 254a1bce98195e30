"""Responses may take as long as their bytes arrive, and no longer."""

from __future__ import annotations

from briardeal_core.http import TransferDeadline
from briardeal_core.http._transfer import MIN_BYTES_PER_S, STALL_S

TIMEOUT_S = 0.5


def test_response_that_has_not_begun_ends_with_the_timeout():
    assert TransferDeadline(10.0, TIMEOUT_S).end_s == 10.5


def test_transfer_goes_on_while_bytes_arrive():
    deadline = TransferDeadline(0.0, TIMEOUT_S)
    for tenths in range(100):
        now_s = tenths / 10
        assert now_s < deadline.end_s
        deadline.record(MIN_BYTES_PER_S // 5, now_s)
    assert deadline.end_s == 9.9 + STALL_S


def test_transfer_ends_after_a_pause():
    deadline = TransferDeadline(0.0, TIMEOUT_S)
    assert deadline.record(100 * MIN_BYTES_PER_S, 2.0) == 2.0 + STALL_S


def test_transfer_below_the_minimum_rate_ends():
    # Guards against a server that keeps a client waiting with one byte at a time.
    deadline = TransferDeadline(0.0, TIMEOUT_S)
    now_s = 0.0
    while now_s < deadline.end_s:
        deadline.record(1, now_s)
        now_s += 0.1
    assert now_s < 2 * TIMEOUT_S


def test_early_bytes_do_not_shorten_the_timeout():
    deadline = TransferDeadline(0.0, 5.0)
    assert deadline.record(1, 0.1) == 5.0
