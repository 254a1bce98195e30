"""The agent grants and frees slots of one endpoint."""

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


class EndpointFixture:
    """A permit table with a clock and an endpoint of two slots."""

    def __init__(self, *, slots=2, quarantine_s=0.0):
        self.clock = Clock()
        self.permits = PermitTable(self.clock, "vm-1", quarantine_s)
        self.registration = EndpointRegistration(self.permits, LEASE_S)
        self.slots = slots
        self.call_number = 0

    def report(self, *running, incarnation=1, after_s=0.5, sends_running=True):
        self.clock.now_s += after_s
        return self.registration.register(
            Announcement(
                service="sampling",
                address="10.0.0.1:80",
                incarnation=incarnation,
                slots=self.slots,
                connections=64,
                running=running if sends_running else None,
            )
        )

    def admit(self, customer="", share=0.0, **fields):
        self.call_number += 1
        call = Admit(
            call_id=self.call_number,
            permit=self.call_number,
            customer=customer,
            share=share,
            **{"incarnation": 1, "deadline_s": 10.0, **fields},
        )
        reply = self.permits.admit(ENTRY, call)
        return "granted" if isinstance(reply, Admitted) else reply.reason

    def release(self, number, **fields):
        self.permits.release(ENTRY, Release(permit=number, **fields))


@pytest.fixture
def endpoint():
    endpoint = EndpointFixture()
    endpoint.report()
    endpoint.report()
    return endpoint


def test_slots_are_granted_up_to_the_limit_and_again_after_release(endpoint):
    assert [endpoint.admit() for _ in range(3)] == ["granted", "granted", "endpoints_busy"]
    endpoint.release(1)
    endpoint.release(1)
    assert [endpoint.admit() for _ in range(2)] == ["granted", "endpoints_busy"]


def test_unreleased_slot_is_held_until_missing_in_two_reports(endpoint):
    endpoint.admit()
    endpoint.admit()
    endpoint.release(1, finished=False)
    endpoint.report("entry-1/1/1", "entry-1/1/2")
    assert endpoint.admit() == "endpoints_busy"
    endpoint.report("entry-1/1/2")
    assert endpoint.admit() == "endpoints_busy"
    endpoint.report("entry-1/1/2")
    assert endpoint.admit() == "granted"


def test_slots_of_lost_entry_are_held_while_they_may_be_used(endpoint):
    endpoint.admit()
    endpoint.permits.handle_lost_entry(ENTRY)
    for _ in range(2):
        endpoint.report()
        assert len(endpoint.permits.held) == 1
    endpoint.report()
    assert endpoint.permits.held == {}


def test_unreported_slot_is_held_until_deadline():
    endpoint = EndpointFixture()
    endpoint.report(sends_running=False)
    endpoint.admit()
    endpoint.release(1, finished=False)
    for _ in range(20):
        endpoint.report(sends_running=False)
        assert len(endpoint.permits.held) == 1
    endpoint.report(sends_running=False)
    endpoint.permits.expire()
    assert endpoint.permits.held == {}


def test_restarted_agent_waits_and_adopts_running_requests():
    endpoint = EndpointFixture(quarantine_s=2.0)
    endpoint.report("entry-1/9/7")
    assert endpoint.admit() == "no_endpoint"
    assert endpoint.permits.endpoint_state() is None
    for _ in range(4):
        endpoint.report("entry-1/9/7")
    assert [endpoint.admit() for _ in range(2)] == ["granted", "endpoints_busy"]


def test_new_incarnation_rejects_calls_for_old_one(endpoint):
    assert endpoint.report(incarnation=2)
    assert not endpoint.report(incarnation=1)
    assert endpoint.admit() == "endpoint_replaced"
    assert endpoint.admit(incarnation=2) == "granted"


def test_paused_endpoint_expires_and_reconciles_before_it_accepts_requests(endpoint):
    endpoint.clock.now_s += LEASE_S
    assert endpoint.admit() == "no_endpoint"
    endpoint.report()
    assert endpoint.admit() == "no_endpoint"
    endpoint.report("entry-1/1/7")
    assert [endpoint.admit() for _ in range(2)] == ["granted", "endpoints_busy"]


def test_key_is_admitted_once_unless_request_was_not_sent(endpoint):
    assert endpoint.admit(key="k") == "granted"
    endpoint.release(1, started=False)
    assert endpoint.admit(key="k") == "granted"
    endpoint.release(2)
    assert endpoint.admit(key="k") == "key_in_use"


def test_unused_share_is_lent_until_its_customer_is_active():
    endpoint = EndpointFixture(slots=8)
    endpoint.report()
    endpoint.report()
    assert [endpoint.admit("desk") for _ in range(9)].count("granted") == 8
    assert endpoint.admit("audit", 0.25) == "endpoints_busy"
    for number in (1, 2):
        endpoint.release(number)
        assert endpoint.admit("desk") == "endpoints_busy"
    assert [endpoint.admit("audit", 0.25) for _ in range(2)] == ["granted", "granted"]
    endpoint.clock.now_s += 1
    endpoint.release(3)
    assert endpoint.admit("desk") == "granted"
