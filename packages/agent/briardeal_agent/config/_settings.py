"""Settings class of the agent."""

from __future__ import annotations

import attrs

from briardeal_core.settings import (
    Settings,
    Validation,
    address,
    addresses,
    count,
    name,
    option,
    optional_address,
    positive,
)


@attrs.frozen
class AgentSettings(Settings):
    """Settings of an agent, read at startup."""

    agent_id: str = option(name, allowed="a name", text="Name of this VM.")
    """Name of the VM, unique among running VMs."""

    region: str = option(name, allowed="a name", text="Region of this VM.")
    """Region of the VM."""

    failure_domain: str = option(name, allowed="a name", text="Failure domain of this VM.")
    """Failure domain of the VM."""

    rack: str = option(name, allowed="a name", default="rack", text="Rack of this VM.")
    """Rack of the VM."""

    listen: str = option(
        address,
        allowed="IP:PORT",
        default="127.0.0.1:7070",
        text="HTTP listen address for the endpoint, health checks and metrics.",
    )
    """Listen address for announcements of the endpoint, health checks and metrics."""

    entries: tuple[str, ...] = option(
        addresses, allowed="IP:PORT, separated by commas", text="Agent addresses of some entries."
    )
    """Agent addresses of entries to connect to first; these send the addresses of the others."""

    worker: str | None = option(
        optional_address,
        allowed="IP:PORT or nothing",
        default="",
        text="Address of the worker platform's API on this VM.",
    )
    """Address of the worker platform's API on this VM; `None` if the VM runs no tasks."""

    accelerators: int = option(
        count, allowed="0 or more", default="0", text="Number of accelerators of the worker."
    )
    """Number of accelerators of the worker."""

    endpoint_lease_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="3",
        text="Time after which an announcement of the endpoint expires, in seconds.",
    )
    """Time after which an announcement of the endpoint expires, in seconds."""

    drain_timeout_s: float = option(
        positive(float),
        allowed="seconds above 0",
        default="30",
        text="Maximum wait for admitted requests at a graceful shutdown, in seconds.",
    )
    """Maximum time that a graceful shutdown waits for admitted requests, in seconds."""

    def cross_check(self) -> Validation:
        """Return errors and warnings that involve more than one setting."""
        validation = Validation()
        if self.worker is not None and self.accelerators == 0:
            validation.warnings.append("BRIARDEAL_WORKER is set, but BRIARDEAL_ACCELERATORS is 0.")
        return validation
