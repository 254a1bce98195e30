"""A small HTTP/1.1 client on h11 and server on httptools, for processes with little memory."""

from briardeal_core.http._budget import (
    Budget,
    Holding,
    ListenerBudget,
    Phase,
    ProcessBudgets,
    divide_budgets,
)
from briardeal_core.http._client import HttpClient, HttpFailure, HttpReply, fetch
from briardeal_core.http._closings import ClosedConnections
from briardeal_core.http._limits import HttpLimits, Refused
from briardeal_core.http._messages import Reply, Request
from briardeal_core.http._server import HttpServer
from briardeal_core.http._transfer import TransferDeadline

__all__ = [
    "Budget",
    "ClosedConnections",
    "Holding",
    "HttpClient",
    "HttpFailure",
    "HttpLimits",
    "HttpReply",
    "HttpServer",
    "ListenerBudget",
    "Phase",
    "ProcessBudgets",
    "Refused",
    "Reply",
    "Request",
    "TransferDeadline",
    "divide_budgets",
    "fetch",
]
