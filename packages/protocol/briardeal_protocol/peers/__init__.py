"""Messages and connections between entries, over gRPC or in memory."""

from briardeal_protocol.peers._codec import PeerMessage, decode, encode
from briardeal_protocol.peers._connection import Broken, PeerConnection, PeerListener, PeerNetwork
from briardeal_protocol.peers._framing import FramedConnection, Pipe
from briardeal_protocol.peers._grpc import GrpcPeerNetwork
from briardeal_protocol.peers._memory import MemoryPeerFabric, MemoryPeerNetwork
from briardeal_protocol.peers._messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    DomainLoad,
    DomainLost,
    DomainUpdate,
    Forward,
    Forwarded,
    ForwardRefused,
    Fragment,
    Member,
    Members,
    MemberStatus,
    PeerHeartbeat,
    PeerHello,
    PeerLeaving,
    Resync,
    ServiceLoad,
    StateUpdate,
)

__all__ = [
    "Broken",
    "ConfigurationOffer",
    "ConfigurationRequest",
    "DomainLoad",
    "DomainLost",
    "DomainUpdate",
    "Forward",
    "ForwardRefused",
    "Forwarded",
    "Fragment",
    "FramedConnection",
    "GrpcPeerNetwork",
    "Member",
    "MemberStatus",
    "Members",
    "MemoryPeerFabric",
    "MemoryPeerNetwork",
    "PeerConnection",
    "PeerHeartbeat",
    "PeerHello",
    "PeerLeaving",
    "PeerListener",
    "PeerMessage",
    "PeerNetwork",
    "Pipe",
    "Resync",
    "ServiceLoad",
    "StateUpdate",
    "decode",
    "encode",
]
