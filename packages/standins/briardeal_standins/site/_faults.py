"""Faults of the brief, each brought about in a site and healed again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_standins.endpoint import Fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_standins.site._site import Site

HEAL_S = 4.0
PAUSE_MAX_S = 5.0
SLOW_LATENCY_S = 0.05


async def kill_endpoint(site: Site) -> None:
    """Kill an endpoint and start it again later."""
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    if vm.is_up:
        vm.kill()
        await asyncio.sleep(HEAL_S)
        vm.start()


async def restart_endpoint(site: Site) -> None:
    """Kill an endpoint and start it again at once at the same address."""
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    if vm.is_up:
        vm.kill()
        vm.start()


async def pause_endpoint(site: Site) -> None:
    """Pause an endpoint, for less or more than its lease."""
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    vm.pause()
    await asyncio.sleep(site.rng.uniform(0.2, PAUSE_MAX_S))
    vm.resume()


async def retire_endpoint(site: Site) -> None:
    """Let an endpoint announce that it leaves."""
    site.vms[site.rng.choice(sorted(site.vms))].leave()


async def fail_endpoint(site: Site) -> None:
    """Let an endpoint fail everything at once."""
    await _give_fault(site, Fault.FAIL_FAST)


async def cut_answers(site: Site) -> None:
    """Let an endpoint break off every answer."""
    await _give_fault(site, Fault.CUT)


async def reset_connections(site: Site) -> None:
    """Let an endpoint close every connection unanswered."""
    await _give_fault(site, Fault.RESET)


async def restart_agent(site: Site) -> None:
    """Kill an agent and start another in its place."""
    name = site.rng.choice(sorted(site.vms))
    if name in site.agents:
        site.kill_agent(name)
        await asyncio.sleep(site.rng.uniform(0, HEAL_S / 2))
        await site.start_agent(name)


async def silence_links(site: Site) -> None:
    """Silence the open connections of an agent, while new ones work."""
    name = site.rng.choice(sorted(site.agents))
    for link in site.agents[name].links.links.values():
        if link.connection is not None:
            link.connection.silent = link.connection.remote.silent = True


async def close_links(site: Site) -> None:
    """Close the connections of an agent."""
    name = site.rng.choice(sorted(site.agents))
    for link in list(site.agents[name].links.links.values()):
        await link.close()


async def restart_entry(site: Site) -> None:
    """Kill an entry and start another in its place."""
    name = site.rng.choice(sorted(site.running))
    await site.kill_entry(name)
    await asyncio.sleep(HEAL_S / 4)
    await site.start_entry(name)


async def pause_entry(site: Site) -> None:
    """Pause an entry, for less or more than the leases and permits that it knows of."""
    name = site.rng.choice(sorted(site.running))
    site.pause_entry(name)
    await asyncio.sleep(site.rng.uniform(0.2, PAUSE_MAX_S))
    if name in site.running:
        site.resume_entry(name)


async def drain_entry(site: Site) -> None:
    """Shut an entry down in order."""
    name = site.rng.choice(sorted(site.running))
    entry = site.running[name]
    if entry.ready:
        await entry.drain()


async def take_log_down(site: Site) -> None:
    """Take the log down."""
    site.log.faults.outage = True
    await asyncio.sleep(HEAL_S)
    site.log.faults.outage = False


async def slow_messages(site: Site) -> None:
    """Let every message between agents and entries take long from now on."""
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


async def _give_fault(site: Site, fault: Fault) -> None:
    vm = site.vms[site.rng.choice(sorted(site.vms))]
    vm.fault = fault
    await asyncio.sleep(HEAL_S)
    vm.fault = Fault.NONE
