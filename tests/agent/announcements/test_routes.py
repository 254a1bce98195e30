"""An endpoint announces itself over HTTP and is told what was wrong."""

from __future__ import annotations

import msgspec
import pytest

from briardeal_agent.announcements import AgentRoutes, Announcement, EndpointRegistration
from briardeal_agent.permits import PermitTable
from briardeal_core.http import Request


class Agent:
    """What the routes need of an agent."""

    leaving = False

    def __init__(self):
        self.permits = PermitTable(lambda: 100.0)
        self.registration = EndpointRegistration(self.permits, 3.0)


def put(agent, body):
    return AgentRoutes(agent).handle(Request("PUT", "/v1/endpoint", body)).status


def announcement(**fields):
    values = {"address": "10.0.0.1:80", "incarnation": 2, "slots": 8, "connections": 64}
    return msgspec.json.encode(Announcement(service="sampling", **{**values, **fields}))


def test_an_announcement_is_taken():
    agent = Agent()
    assert put(agent, announcement(leaving=True)) == 200
    state = agent.permits.state()
    assert (state.service, state.incarnation, state.leaving) == ("sampling", 2, True)


def test_an_older_incarnation_is_refused():
    agent = Agent()
    assert put(agent, announcement()) == 200
    assert put(agent, announcement(incarnation=1)) == 409
    assert agent.permits.endpoint.incarnation == 2


@pytest.mark.parametrize("body", [b"", b"{}", b'{"service": 1}', b"\xff"])
def test_what_is_not_an_announcement_is_refused(body):
    agent = Agent()
    assert put(agent, body) == 400
    assert agent.permits.endpoint is None
