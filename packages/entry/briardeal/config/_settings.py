"""The settings class of the entry."""

from __future__ import annotations

import attrs

from briardeal_core.settings import Settings, address, addresses, name, option, positive


@attrs.frozen
class EntrySettings(Settings):
    """Everything that an entry is told at its start."""

    entry_id: str = option(name, allowed="a name", text="Name of this VM.")
    """Name of the VM, unique among the entries that live."""

    region: str = option(name, allowed="a name", text="Region of this VM.")
    """Region of the VM."""

    failure_domain: str = option(name, allowed="a name", text="Failure domain of this VM.")
    """Failure domain of the VM."""

    listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8080", text="Address for callers."
    )
    """Where callers, operators and the balancer connect over HTTP."""

    agent_listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8081", text="Address for agents."
    )
    """Where agents of the region connect."""

    peer_listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8082", text="Address for entries."
    )
    """Where other entries connect."""

    peers: tuple[str, ...] = option(
        addresses,
        allowed="IP:PORT, separated by commas, or nothing",
        default="",
        text="Peer addresses of other entries.",
    )
    """Other entries to connect to first; they tell of the rest."""

    log: str = option(address, allowed="IP:PORT", text="Address of the platform's log.")
    """The platform's append-only log."""

    log_retention_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="86400",
        text="How long the log keeps records.",
    )
    """How long the log keeps records, in seconds; snapshots are written at a quarter of it."""

    agent_lease_s: float = option(
        positive(float), allowed="seconds above 0", default="3", text="Lease of an agent."
    )
    """How long an agent counts as alive after its last heartbeat, in seconds."""

    request_timeout_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="30",
        text="Time for a request where the caller names none.",
    )
    """Deadline of a request whose caller names none, in seconds."""

    drain_timeout_s: float = option(
        positive(float), allowed="seconds above 0", default="60", text="Longest shutdown."
    )
    """How long a graceful shutdown waits for requests, in seconds."""
