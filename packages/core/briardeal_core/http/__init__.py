"""A small HTTP/1.1 client and server on h11, for processes with little memory such as agents."""

from briardeal_core.http._client import HttpClient, HttpFailure, HttpReply, fetch
from briardeal_core.http._server import HttpServer, Reply, Request

__all__ = ["HttpClient", "HttpFailure", "HttpReply", "HttpServer", "Reply", "Request", "fetch"]
