"""Connections that carry messages, over TCP or in memory."""

from briardeal_protocol.connections._codec import Codec
from briardeal_protocol.connections._connection import Closed, Connection, Listener, Network
from briardeal_protocol.connections._link import Call, Link, Part, TimedOut
from briardeal_protocol.connections._memory import MemoryHost, MemoryNetwork
from briardeal_protocol.connections._tcp import TcpNetwork

__all__ = [
    "Call",
    "Closed",
    "Codec",
    "Connection",
    "Link",
    "Listener",
    "MemoryHost",
    "MemoryNetwork",
    "Network",
    "Part",
    "TcpNetwork",
    "TimedOut",
]
