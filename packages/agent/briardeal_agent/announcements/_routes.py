"""The agent's HTTP routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_agent.announcements._registration import Announcement
from briardeal_core.http import Reply

if TYPE_CHECKING:
    from briardeal_agent.structure import Agent
    from briardeal_core.http import Request


class AgentRoutes:
    """Handles HTTP requests to the agent.

    Parameters
    ----------
    agent
        The agent.
    """

    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    def handle(self, request: Request) -> Reply:
        """Return the answer to a request."""
        match request.method, request.path:
            case "PUT", "/v1/endpoint":
                return self._handle_announcement(request.body)
            case "GET", "/healthz":
                return Reply(200, b'{"status":"ok"}')
            case "GET", "/readyz":
                return Reply(503 if self.agent.leaving else 200, b"{}")
            case "GET", "/metrics":
                return Reply(200, self.agent.metrics.render(), "text/plain; version=0.0.4")
        return Reply(404, b"{}")

    def _handle_announcement(self, body: bytes) -> Reply:
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except msgspec.DecodeError as error:
            return Reply(400, msgspec.json.encode({"message": str(error)}))
        accepted = self.agent.registration.register(announcement)
        return Reply(200 if accepted else 409, b"{}")
