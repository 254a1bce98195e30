"""Messages that entries send to each other.

They are encoded as MessagePack arrays, so a new field must be added at the end, with a default.
"""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Identity and addresses of one entry.

    Parameters
    ----------
    entry_id
        Name of the VM of the entry.
    incarnation
        Number that increases with every start of the entry.
    region, failure_domain
        Location of the VM.
    peer_address, agent_address
        Addresses for other entries and for agents, as `IP:PORT`.
    """

    entry_id: str
    incarnation: int
    region: str
    failure_domain: str
    peer_address: str
    agent_address: str


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of a member, as an entry reports it to others.

    Parameters
    ----------
    member
        Identity and addresses of the member.
    age_s
        Time since the member was last known to be alive, in seconds, rounded down.
    left
        Whether this incarnation has left or was replaced.
    """

    member: Member
    age_s: int = 0
    left: bool = False


class PeerHello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of each end of a connection.

    Parameters
    ----------
    member
        Entry that sends the message.
    known
        All members that it knows.
    """

    member: Member
    known: tuple[MemberStatus, ...] = ()


class PeerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Renews the lease of an entry and reports the versions of its state.

    Parameters
    ----------
    sequence
        Number of the heartbeat on this connection.
    last_received
        Number of the latest heartbeat received on this connection, so that the receiver can
        detect a failure in one direction.
    members_digest
        Hash of the known members.
    updates
        Number of state updates sent on this connection.
    configuration
        Version of the sender's configuration.
    log_age_ms
        Time since the last successful read of the log, in milliseconds; -1 before the first.
    log_token
        Highest fencing token read from the log.
    """

    sequence: int
    last_received: int
    members_digest: int
    updates: int
    configuration: int
    log_age_ms: int = -1
    log_token: int = 0


class PeerLeaving(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Announces that the entry accepts no new work and will close its connections."""


class Members(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """All members known to an entry; sent if the digests of the two ends differ."""

    known: tuple[MemberStatus, ...]


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one service in a failure domain.

    Parameters
    ----------
    service
        Name of the service.
    endpoints
        Number of endpoints that accept requests.
    slots, free_slots
        Number of requests that they can process at once, and of those slots that are free.
    """

    service: str
    endpoints: int
    slots: int
    free_slots: int


class DomainLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a failure domain.

    Parameters
    ----------
    services
        Load of each service.
    workers, accelerators
        Number of live workers and of their accelerators.
    jobs_waiting
        Number of jobs in the region that wait for accelerators.
    """

    services: tuple[ServiceLoad, ...] = ()
    workers: int = 0
    accelerators: int = 0
    jobs_waiting: int = 0


class DomainUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Full state of a failure domain, or the changes since the last update.

    Parameters
    ----------
    region, failure_domain
        Location of the failure domain.
    full
        Whether this is the full state, which replaces the receiver's copy.
    members
        Live entries; only the new ones if this is a change.
    removed_members
        Names of the entries that are no longer alive.
    load
        Load; only with the services that changed if this is a change.
    removed_services
        Names of the services that are no longer present.
    """

    region: str
    failure_domain: str
    full: bool
    members: tuple[Member, ...] = ()
    removed_members: tuple[str, ...] = ()
    load: DomainLoad | None = None
    removed_services: tuple[str, ...] = ()


class DomainLost(msgspec.Struct, frozen=True, array_like=True):
    """Announces that the sender stops sending updates of a failure domain.

    Parameters
    ----------
    region, failure_domain
        Location of the failure domain.
    handover
        Whether another entry takes over these updates, so that the receiver may use its copy for
        the duration of a lease.
    """

    region: str
    failure_domain: str
    handover: bool


class StateUpdate(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Updates of failure domains in other regions.

    Parameters
    ----------
    sequence
        Number of this update on the connection; the receiver answers a gap with a `Resync`.
    full
        Whether this lists every failure domain that the sender sends updates of.
    domains
        Updates of failure domains.
    lost
        Failure domains that the sender stops sending updates of.
    """

    sequence: int
    full: bool
    domains: tuple[DomainUpdate, ...] = ()
    lost: tuple[DomainLost, ...] = ()


class Resync(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Requests a full state update after a gap."""


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests the configuration of the receiver."""


class ConfigurationOffer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The configuration of the sender.

    Parameters
    ----------
    version
        Version of the configuration.
    value
        Encoded configuration.
    """

    version: int
    value: bytes


class Forward(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A request forwarded to another entry.

    Parameters
    ----------
    call_id
        Number of this call on the connection.
    origin, origin_incarnation, number
        Entry that forwarded the request first, its incarnation, and the number of the forward
        there. Together they identify the forward, so that a duplicate does not run again.
    target
        Entry that must process the request; empty for any entry of the region.
    region, failure_domain
        Region that processes the request, and the failure domain through which it is reached.
    hops
        Number of connections that the request may still cross, including this one.
    deadline_s
        Remaining time until the caller's timeout, in seconds.
    service, customer, content_type, idempotent, key, body
        Content of the request.
    """

    call_id: int
    origin: str
    origin_incarnation: int
    number: int
    target: str
    region: str
    failure_domain: str
    hops: int
    deadline_s: float
    service: str
    customer: str
    content_type: str
    idempotent: bool
    key: str
    body: bytes


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The complete response to a forwarded request.

    Parameters
    ----------
    call_id
        Number of the call.
    status, content_type, body
        Content of the response.
    """

    call_id: int
    status: int
    content_type: str
    body: bytes


class ForwardRefused(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The outcome of a forwarded request without a response.

    Parameters
    ----------
    call_id
        Number of the call.
    reason
        Code of the reason.
    run_state
        Whether the request ran: `not_run`, `ran` or `unknown`.
    retry_after_s
        Time after which the caller may retry, in seconds; `None` if a retry can't succeed.
    detail
        Details beyond the sentence of the reason.
    """

    call_id: int
    reason: str
    run_state: str
    retry_after_s: float | None = None
    detail: str = ""


class Fragment(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A fragment of a large message.

    Parameters
    ----------
    number
        Number of the message among those sent in fragments on this connection.
    index
        Index of the fragment, from 0.
    last
        Whether this is the last fragment of the message.
    data
        Content of the fragment.
    """

    number: int
    index: int
    last: bool
    data: bytes
