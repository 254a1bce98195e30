"""Announcements of the endpoint beside the agent, and the agent's HTTP routes."""

from briardeal_agent.announcements._announcements import Announcement, EndpointRegistration
from briardeal_agent.announcements._routes import AgentRoutes

__all__ = ["Announcement", "EndpointRegistration", "AgentRoutes"]
