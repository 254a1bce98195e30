"""Slots of one endpoint, as the agent grants and frees them."""

from __future__ import annotations

import pytest

from briardeal_agent.announcements import Announcement, EndpointRegistration
from briardeal_agent.permits import PermitTable
from briardeal_protocol.messages import Admit, Admitted, EntryHello, Release

ENTRY = EntryHello(entry_id="entry-1", incarnation=1)
LEASE_S = 3.0


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


class Bench:
    """Permits with a clock and an endpoint of two slots."""

    def __init__(self, *, slots=2, quarantine_s=0.0):
        self.clock = Clock()
        self.permits = PermitTable(self.clock, "vm-1", quarantine_s)
        self.registration = EndpointRegistration(self.permits, LEASE_S)
        self.slots = slots
        self.number = 0

    def report(self, *running, incarnation=1, after_s=0.5, counts=True):
        self.clock.now_s += after_s
        return self.registration.register(
            Announcement(
                service="sampling",
                address="10.0.0.1:80",
                incarnation=incarnation,
                slots=self.slots,
                connections=64,
                running=running if counts else None,
            )
        )

    def admit(self, customer="", share=0.0, **fields):
        self.number += 1
        call = Admit(
            call_id=self.number,
            permit=self.number,
            customer=customer,
            share=share,
            **{"incarnation": 1, "deadline_s": 10.0, **fields},
        )
        reply = self.permits.admit(ENTRY, call)
        return "granted" if isinstance(reply, Admitted) else reply.reason

    def release(self, number, **fields):
        self.permits.release(ENTRY, Release(permit=number, **fields))


@pytest.fixture
def bench():
    bench = Bench()
    bench.report()
    bench.report()
    return bench


def test_slots_are_granted_up_to_the_limit_and_again_after_release(bench):
    assert [bench.admit() for _ in range(3)] == ["granted", "granted", "endpoints_busy"]
    bench.release(1)
    bench.release(1)
    assert [bench.admit() for _ in range(2)] == ["granted", "endpoints_busy"]


def test_a_slot_in_doubt_is_held_until_two_reports_miss_it(bench):
    bench.admit()
    bench.admit()
    bench.release(1, finished=False)
    bench.report("entry-1/1/1", "entry-1/1/2")
    assert bench.admit() == "endpoints_busy"
    bench.report("entry-1/1/2")
    assert bench.admit() == "endpoints_busy"
    bench.report("entry-1/1/2")
    assert bench.admit() == "granted"


def test_slots_of_a_lost_entry_are_held_while_they_may_be_used(bench):
    bench.admit()
    bench.permits.lose_entry(ENTRY)
    for _ in range(2):
        bench.report()
        assert len(bench.permits.held) == 1
    bench.report()
    assert bench.permits.held == {}


def test_without_reports_a_slot_is_held_until_the_deadline():
    bench = Bench()
    bench.report(counts=False)
    bench.admit()
    bench.release(1, finished=False)
    for _ in range(20):
        bench.report(counts=False)
        assert len(bench.permits.held) == 1
    bench.report(counts=False)
    bench.permits.expire()
    assert bench.permits.held == {}


def test_a_restarted_agent_waits_and_takes_over_what_runs():
    bench = Bench(quarantine_s=2.0)
    bench.report("entry-1/9/7")
    assert bench.admit() == "no_endpoint"
    assert bench.permits.state() is None
    for _ in range(4):
        bench.report("entry-1/9/7")
    assert [bench.admit() for _ in range(2)] == ["granted", "endpoints_busy"]


def test_a_new_incarnation_is_not_admitted_to_with_the_old_number(bench):
    assert bench.report(incarnation=2)
    assert not bench.report(incarnation=1)
    assert bench.admit() == "endpoint_replaced"
    assert bench.admit(incarnation=2) == "granted"


def test_a_paused_endpoint_is_out_after_its_lease_and_settles_before_it_is_back(bench):
    bench.clock.now_s += LEASE_S
    assert bench.admit() == "no_endpoint"
    bench.report()
    assert bench.admit() == "no_endpoint"
    bench.report("entry-1/1/7")
    assert [bench.admit() for _ in range(2)] == ["granted", "endpoints_busy"]


def test_a_key_is_admitted_once_unless_it_was_not_sent(bench):
    assert bench.admit(key="k") == "granted"
    bench.release(1, started=False)
    assert bench.admit(key="k") == "granted"
    bench.release(2)
    assert bench.admit(key="k") == "key_in_use"


def test_an_unused_share_is_lent_and_kept_once_its_customer_is_active():
    bench = Bench(slots=8)
    bench.report()
    bench.report()
    assert [bench.admit("desk") for _ in range(9)].count("granted") == 8
    assert bench.admit("audit", 0.25) == "endpoints_busy"
    for number in (1, 2):
        bench.release(number)
        assert bench.admit("desk") == "endpoints_busy"
    assert [bench.admit("audit", 0.25) for _ in range(2)] == ["granted", "granted"]
    bench.clock.now_s += 1
    bench.release(3)
    assert bench.admit("desk") == "granted"
