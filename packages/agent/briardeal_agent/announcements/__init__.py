"""Announcements of the endpoint on the agent's VM, and the agent's HTTP routes."""

from briardeal_agent.announcements._registration import Announcement, EndpointRegistration
from briardeal_agent.announcements._routes import AgentRoutes

__all__ = ["AgentRoutes", "Announcement", "EndpointRegistration"]
