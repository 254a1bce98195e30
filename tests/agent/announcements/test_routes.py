"""Endpoints register over HTTP, and invalid announcements are rejected."""

from __future__ import annotations

import msgspec
import pytest

from briardeal_agent.announcements import AgentRoutes, Announcement, EndpointRegistration
from briardeal_agent.permits import PermitTable
from briardeal_core.http import Request


class Agent:
    """The part of an agent that the routes use."""

    leaving = False

    def __init__(self):
        self.permits = PermitTable(lambda: 100.0)
        self.registration = EndpointRegistration(self.permits, 3.0)


def put_announcement(agent, body):
    return AgentRoutes(agent).handle(Request("PUT", "/v1/endpoint", body)).status


def announcement(**fields):
    values = {"address": "10.0.0.1:80", "incarnation": 2, "slots": 8, "connections": 64}
    return msgspec.json.encode(Announcement(service="sampling", **{**values, **fields}))


def test_announcement_registers_endpoint():
    agent = Agent()
    assert put_announcement(agent, announcement(leaving=True)) == 200
    state = agent.permits.endpoint_state()
    assert (state.service, state.incarnation, state.leaving) == ("sampling", 2, True)


def test_older_incarnation_is_rejected():
    agent = Agent()
    assert put_announcement(agent, announcement()) == 200
    assert put_announcement(agent, announcement(incarnation=1)) == 409
    assert agent.permits.endpoint.incarnation == 2


@pytest.mark.parametrize("body", [b"", b"{}", b'{"service": 1}', b"\xff"])
def test_invalid_announcement_is_rejected(body):
    agent = Agent()
    assert put_announcement(agent, body) == 400
    assert agent.permits.endpoint is None
