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
        address,
        allowed="IP:PORT",
        default="127.0.0.1:8080",
        text="Listen address for HTTP from callers and operators.",
    )
    """Listen address on which callers, operators and the load balancer connect over HTTP."""

    agent_listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:8081", text="Listen address for agents."
    )
    """Listen address on which agents of the region connect."""

    peer_listen: str = option(
        address,
        allowed="IP:PORT",
        default="127.0.0.1:8082",
        text="Listen address for other entries.",
    )
    """Listen address on which other entries connect."""

    peers: tuple[str, ...] = option(
        addresses,
        allowed="IP:PORT, separated by commas, or nothing",
        default="",
        text="Peer addresses of some other entries.",
    )
    """Other entries to connect to first; the rest are discovered through them."""

    log: str = option(address, allowed="IP:PORT", text="Address of the platform's log.")
    """Address of the platform's append-only log."""

    log_retention_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="86400",
        text="Time for which the log retains records, in seconds.",
    )
    """Time for which the log retains records, in seconds.

    A snapshot is written after each quarter of this time.
    """

    agent_lease_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="3",
        text="Time without a message after which an agent counts as lost, in seconds.",
    )
    """Time for which an agent counts as alive after its last message, in seconds."""

    request_timeout_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="30",
        text="Timeout of a request whose caller sets none, in seconds.",
    )
    """Timeout of a request whose caller sets none, in seconds."""

    drain_timeout_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="60",
        text="Maximum wait for pending requests at a graceful shutdown, in seconds.",
    )
    """Maximum time that a graceful shutdown waits for pending requests, in seconds."""
