"""Faults that can be injected into a site; each function also ends its fault if it lasts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_standins.endpoint import Fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_standins.site._site import Site

FAULT_DURATION_S = 4.0
MAX_PAUSE_S = 5.0
SLOW_LATENCY_S = 0.05


async def kill_endpoint(site: Site) -> None:
    """Kill an endpoint and restart it later."""
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    if vm.is_up:
        vm.kill()
        await asyncio.sleep(FAULT_DURATION_S)
        vm.start()


async def restart_endpoint(site: Site) -> None:
    """Kill an endpoint and restart it immediately at the same address."""
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    if vm.is_up:
        vm.kill()
        vm.start()


async def pause_endpoint(site: Site) -> None:
    """Pause an endpoint for a time shorter or longer than its lease."""
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    vm.pause()
    await asyncio.sleep(site.rng.uniform(0.2, MAX_PAUSE_S))
    vm.resume()


async def retire_endpoint(site: Site) -> None:
    """Make an endpoint announce that it is leaving."""
    site.vms[site.rng.choice(sorted(site.vms))].leave()


async def fail_endpoint(site: Site) -> None:
    """Make an endpoint fail all requests immediately."""
    await _inject_endpoint_fault(site, Fault.FAIL_FAST)


async def cut_answers(site: Site) -> None:
    """Make an endpoint cut off every answer."""
    await _inject_endpoint_fault(site, Fault.CUT)


async def reset_connections(site: Site) -> None:
    """Make an endpoint close every connection without an answer."""
    await _inject_endpoint_fault(site, Fault.RESET)


async def restart_agent(site: Site) -> None:
    """Kill an agent and start a replacement."""
    name = site.rng.choice(sorted(site.vms))
    if name in site.agents:
        site.kill_agent(name)
        await asyncio.sleep(site.rng.uniform(0, FAULT_DURATION_S / 2))
        await site.start_agent(name)


async def silence_links(site: Site) -> None:
    """Silence the open connections of an agent; new connections work."""
    name = site.rng.choice(sorted(site.agents))
    for link in site.agents[name].links.links.values():
        if link.connection is not None:
            link.connection.silent = link.connection.remote.silent = True


async def close_links(site: Site) -> None:
    """Close all connections of an agent."""
    name = site.rng.choice(sorted(site.agents))
    for link in list(site.agents[name].links.links.values()):
        await link.close()


async def restart_entry(site: Site) -> None:
    """Kill an entry and start a replacement."""
    name = site.rng.choice(sorted(site.running))
    await site.kill_entry(name)
    await asyncio.sleep(FAULT_DURATION_S / 4)
    await site.start_entry(name)


async def pause_entry(site: Site) -> None:
    """Pause an entry for a time shorter or longer than its leases and permits."""
    name = site.rng.choice(sorted(site.running))
    site.pause_entry(name)
    await asyncio.sleep(site.rng.uniform(0.2, MAX_PAUSE_S))
    if name in site.running:
        site.resume_entry(name)


async def drain_entry(site: Site) -> None:
    """Shut down an entry gracefully."""
    name = site.rng.choice(sorted(site.running))
    entry = site.running[name]
    if entry.ready:
        await entry.drain()


async def take_log_down(site: Site) -> None:
    """Make the log unavailable for a while."""
    site.log.faults.outage = True
    await asyncio.sleep(FAULT_DURATION_S)
    site.log.faults.outage = False


async def slow_messages(site: Site) -> None:
    """Increase the latency between agents and entries until the site is stopped."""
    site.network.latency_s = SLOW_LATENCY_S


FAULTS: list[Callable[[Site], Awaitable[None]]] = [
    kill_endpoint,
    restart_endpoint,
    pause_endpoint,
    retire_endpoint,
    fail_endpoint,
    cut_answers,
    reset_connections,
    restart_agent,
    silence_links,
    close_links,
    restart_entry,
    pause_entry,
    drain_entry,
    take_log_down,
    slow_messages,
]


async def _inject_endpoint_fault(site: Site, fault: Fault) -> None:
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    vm.fault = fault
    await asyncio.sleep(FAULT_DURATION_S)
    vm.fault = Fault.NONE
