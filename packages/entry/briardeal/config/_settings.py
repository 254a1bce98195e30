"""Settings class of the entry."""

from __future__ import annotations

import attrs

from briardeal_core.settings import Settings, address, addresses, name, option, positive


@attrs.frozen
class EntrySettings(Settings):
    """Settings of an entry, read at startup."""

    entry_id: str = option(name, allowed="a name", text="Name of this VM.")
    """Name of the VM, unique among the live entries."""

    region: str = option(name, allowed="a name", text="Region of this VM.")
    """Region of the VM."""

    failure_domain: str = option(name, allowed="a name", text="Failure domain of this VM.")
    """Failure domain of the VM."""

    listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8080", text="HTTP address for callers."
    )
    """Address on which callers, operators and the load balancer connect over HTTP."""

    agent_listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8081", text="Address for agents."
    )
    """Address on which agents of the region connect."""

    peer_listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8082", text="Address for other entries."
    )
    """Address on which other entries connect."""

    peers: tuple[str, ...] = option(
        addresses,
        allowed="IP:PORT, separated by commas, or nothing",
        default="",
        text="Peer addresses of other entries.",
    )
    """Other entries to connect to first; the rest are discovered through them."""

    log: str = option(address, allowed="IP:PORT", text="Address of the platform's log.")
    """Address of the platform's append-only log."""

    log_retention_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="86400",
        text="How long the log keeps records.",
    )
    """How long the log keeps records, in seconds; a snapshot is written each quarter of it."""

    agent_lease_s: float = option(
        positive(float), allowed="seconds above 0", default="3", text="Lease of an agent."
    )
    """How long an agent counts as alive after its last heartbeat, in seconds."""

    request_timeout_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="30",
        text="Timeout of a request whose caller sets none.",
    )
    """Timeout of a request whose caller sets none, in seconds."""

    drain_timeout_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="60",
        text="Longest wait for pending requests at shutdown.",
    )
    """How long a graceful shutdown waits for pending requests, in seconds."""
