"""Links between entries: membership, state of other regions, forwarding and configuration."""

from briardeal.peers._bridges import FailureDomainId
from briardeal.peers._forwarding import Forwarder
from briardeal.peers._interfaces import (
    ConfigurationSource,
    ForwardHandler,
    LoadSource,
    LogStatus,
)
from briardeal.peers._link import HEARTBEAT_INTERVAL_S, LEASE_S
from briardeal.peers._loads import AgentLoads
from briardeal.peers._service import PeerHooks, PeerService
from briardeal.peers._table import LogState, PeerTable, RemoteDomain

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "LEASE_S",
    "AgentLoads",
    "ConfigurationSource",
    "FailureDomainId",
    "ForwardHandler",
    "Forwarder",
    "LoadSource",
    "LogState",
    "LogStatus",
    "PeerHooks",
    "PeerService",
    "PeerTable",
    "RemoteDomain",
]
