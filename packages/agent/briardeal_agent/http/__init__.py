"""A small HTTP client and server on h11 that fit the agent's memory."""

from briardeal_agent.http._client import HttpFailure, HttpReply, fetch
from briardeal_agent.http._server import HttpServer, Reply, Request

__all__ = ["HttpFailure", "HttpReply", "HttpServer", "Reply", "Request", "fetch"]
