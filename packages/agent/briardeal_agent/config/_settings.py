"""The settings class of the agent."""

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
    """Everything that an agent is told at its start."""

    agent_id: str = option(name, allowed="a name", text="Name of this VM.")
    """Name of the VM, unique among those that live."""

    region: str = option(name, allowed="a name", text="Region of this VM.")
    """Region of the VM."""

    failure_domain: str = option(name, allowed="a name", text="Failure domain of this VM.")
    """Failure domain of the VM."""

    rack: str = option(name, allowed="a name", default="rack", text="Rack of this VM.")
    """Rack of the VM."""

    listen: str = option(
        address, allowed="IP:PORT", default="127.0.0.1:7070", text="Address for HTTP."
    )
    """Where the endpoint announces itself and where health and metrics are served."""

    entries: tuple[str, ...] = option(
        addresses, allowed="IP:PORT, separated by commas", text="Agent addresses of entries."
    )
    """Entries to connect to first; they tell of the others."""

    worker: str | None = option(
        optional_address,
        allowed="IP:PORT or nothing",
        default="",
        text="Address of the worker's API.",
    )
    """The worker platform's API on this VM; nothing where the VM runs no tasks."""

    accelerators: int = option(
        count, allowed="0 or more", default="0", text="Accelerators of the worker."
    )
    """Accelerators of the worker."""

    endpoint_lease_s: float = option(
        positive(float), allowed="seconds above 0", default="3", text="Lease of an announcement."
    )
    """How long an announcement of the endpoint holds, in seconds."""

    drain_timeout_s: float = option(
        positive(float), allowed="seconds above 0", default="30", text="Longest shutdown."
    )
    """How long a graceful shutdown waits for requests, in seconds."""

    def cross_check(self) -> Validation:
        """Return the mistakes that involve more than one setting."""
        found = Validation()
        if self.worker is not None and self.accelerators == 0:
            found.warnings.append("BRIARDEAL_WORKER is set, but BRIARDEAL_ACCELERATORS is 0.")
        return found
