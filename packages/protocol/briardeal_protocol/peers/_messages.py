"""Messages that entries send to each other.

All travel as MessagePack arrays; a field may be added at the end of a message, with a default.
"""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One entry, as it tells of itself.

    Parameters
    ----------
    entry_id
        Name of the entry's VM.
    incarnation
        Number that is higher after every start of the entry.
    region, failure_domain
        Where it stands.
    peer_address, agent_address
        Where other entries and agents connect, as `IP:PORT`.
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
        The member.
    age_s
        Whole seconds since the member was last known to be alive.
    left
        Whether that incarnation has left or was replaced.
    """

    member: Member
    age_s: int = 0
    left: bool = False


class PeerHello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of either end of a connection.

    Parameters
    ----------
    member
        The entry that speaks.
    known
        All members that it knows.
    """

    member: Member
    known: tuple[MemberStatus, ...] = ()


class PeerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Renews the lease of an entry and tells the versions of what it knows.

    Parameters
    ----------
    sequence
        Number of the heartbeat on this connection.
    heard
        Highest heartbeat heard from the other end, so that it finds a cut in one direction.
    members_digest
        Hash of the members known.
    updates
        Number of state updates sent on this connection.
    configuration
        Version of the configuration held.
    log_age_ms
        Milliseconds since the last successful read of the log; -1 for none yet.
    log_token
        Highest fencing token read from the log.
    """

    sequence: int
    heard: int
    members_digest: int
    updates: int
    configuration: int
    log_age_ms: int = -1
    log_token: int = 0


class PeerLeaving(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The entry takes no new work and will close its connections."""


class Members(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Members known to an entry, sent where the digests differ."""

    known: tuple[MemberStatus, ...]


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one service in a failure domain.

    Parameters
    ----------
    service
        Name of the service.
    endpoints
        Endpoints that take requests.
    slots, free_slots
        Requests that they take at once, and those that they could take now.
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
        Workers that are alive and their accelerators.
    jobs_waiting
        Jobs that wait for accelerators, in the whole region.
    """

    services: tuple[ServiceLoad, ...] = ()
    workers: int = 0
    accelerators: int = 0
    jobs_waiting: int = 0


class DomainUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of a failure domain, or what has changed in it.

    Parameters
    ----------
    region, failure_domain
        The failure domain.
    whole
        Whether this replaces everything known of it.
    members
        Entries that are alive; only the new ones in a change.
    gone
        Names of the entries that are no longer alive.
    load
        Load; only the services that changed in a change.
    services_gone
        Names of the services that are no longer there.
    """

    region: str
    failure_domain: str
    whole: bool
    members: tuple[Member, ...] = ()
    gone: tuple[str, ...] = ()
    load: DomainLoad | None = None
    services_gone: tuple[str, ...] = ()


class DomainLost(msgspec.Struct, frozen=True, array_like=True):
    """The sender tells no more of a failure domain.

    Parameters
    ----------
    region, failure_domain
        The failure domain.
    handover
        Whether another entry takes over its stream, so that what is known may be kept for a lease.
    """

    region: str
    failure_domain: str
    handover: bool


class StateUpdate(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Changes of failure domains in other regions.

    Parameters
    ----------
    sequence
        Number of this update on the connection; a gap calls for a `Resync`.
    full
        Whether the sender tells of no other failure domains than these.
    domains
        Changes.
    lost
        Failure domains of which the sender tells no more.
    """

    sequence: int
    full: bool
    domains: tuple[DomainUpdate, ...] = ()
    lost: tuple[DomainLost, ...] = ()


class Resync(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks for a full state update after a gap."""


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for the configuration of the other end."""


class ConfigurationOffer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The configuration of the sender."""

    version: int
    value: bytes


class Forward(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A request passed on to another entry.

    Parameters
    ----------
    call_id
        Number of this call on the connection.
    origin, origin_incarnation, number
        Identify the forward among all, so that a copy of it is not run again.
    target
        Entry that is to answer; empty for any entry of the region.
    region, failure_domain
        Where any entry may answer, and the failure domain through which it is reached.
    hops
        Connections that it may still cross, this one included.
    deadline_s
        Time until the caller gives up, in seconds from now.
    service, customer, content_type, idempotent, key, body
        The request.
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
    """The whole answer to a forward."""

    call_id: int
    status: int
    content_type: str
    body: bytes


class ForwardRefused(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """An outcome of a forward other than an answer.

    Parameters
    ----------
    call_id
        Call that this answers.
    reason
        Code of the reason.
    run_state
        Whether the request ran: `not_run`, `ran` or `unknown`.
    retry_after_s
        When asking again makes sense, in seconds.
    detail
        A sentence that adds particulars.
    """

    call_id: int
    reason: str
    run_state: str
    retry_after_s: float | None = None
    detail: str = ""


class Fragment(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A part of a large message.

    Parameters
    ----------
    number
        Number of the message among the large ones of this connection.
    index
        Place of the part, from 0.
    last
        Whether the message is whole with this part.
    data
        The part.
    """

    number: int
    index: int
    last: bool
    data: bytes
