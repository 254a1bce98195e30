"""Evacuations of failure domains, alone and together with what may hide them from an owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_standins.emulator._store import StoreFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_standins.emulator._emulator import Emulator

PAUSE_S = (0.2, 3.0)
"""Range of the seconds between two evacuations."""

EVACUATION_S = (0.5, 8.0)
"""Range of the seconds for which domains are evacuated; longer than the limit for starts."""

OUTAGE_S = (0.5, 4.0)
"""Range of the seconds for which the store, or its topic of requests, is out of reach."""

RESTART_S = 1.0
"""Seconds after which a killed owner starts again."""

TAKEOVER_LIMIT_S = 4.0
"""Seconds in which another entry takes over; if none does, the request is written then."""

TAKEOVER_POLL_S = 0.001
TRIM_SHARE = 0.5
"""Share of the evacuations at whose end the log is trimmed, so that readers miss the removal."""

ODD_VALUES = (b"{}", b"{}", b"[]", b"\xff")


async def evacuate_domains(site: Emulator, change_configuration: Callable[[], None]) -> None:
    """Evacuate one or two domains in some circumstances, and take them back.

    Parameters
    ----------
    site
        Deployment with the failure domains.
    change_configuration
        Puts a changed configuration into force.
    """
    rng = site.rng
    await asyncio.sleep(rng.uniform(*PAUSE_S))
    all_domains = sorted({vm.state.failure_domain for vm in site.vms.values()})
    domains = rng.sample(all_domains, rng.randint(1, 2))
    circumstance = rng.choice(
        (
            _request,
            _request_at_kill,
            _request_during_takeover,
            _request_at_change,
            _request_at_outage,
        )
    )
    await circumstance(site, domains, change_configuration)
    await asyncio.sleep(rng.uniform(*EVACUATION_S))
    trims = rng.random() < TRIM_SHARE
    for domain in domains:
        if trims:
            # All readers miss the removal: it is written and trimmed while they can't read.
            site.store.refusing_topics.add("op")
        site.take_back(domain)
        if rng.random() < TRIM_SHARE:
            # Taken back, evacuated and taken back again in quick succession.
            site.evacuate(domain)
            site.take_back(domain)
    if trims:
        await asyncio.sleep(1.5)
        site.store.trim_all()
        site.store.refusing_topics.discard("op")


def is_loading(site: Emulator) -> bool:
    """Return whether an entry has begun to take over and has not loaded the jobs yet."""
    owners = (site.entry(name).owner for name in site.entry_names if name in site.processes)
    return any(owner is not None and not owner.loaded for owner in owners)


def known_domains(site: Emulator) -> list[frozenset[str]]:
    """Return the evacuated domains as each running entry knows them."""
    names = (name for name in site.entry_names if name in site.processes)
    return [site.entry(name).evacuations.domains for name in names]


async def _request(
    site: Emulator, domains: list[str], change_configuration: Callable[[], None]
) -> None:
    for domain in domains:
        site.evacuate(domain, site.rng.choice(ODD_VALUES))
        await asyncio.sleep(site.rng.uniform(0.0, 0.5))


async def _request_at_kill(
    site: Emulator, domains: list[str], change_configuration: Callable[[], None]
) -> None:
    """Kill the owner at the moment of the request."""
    owner = site.owner_name()
    site.checker.excuse_gangs(RESTART_S)
    await _request(site, domains, change_configuration)
    if owner is not None:
        await site.kill(owner)
        await asyncio.sleep(RESTART_S)
        site.start_process(owner)


async def _request_during_takeover(
    site: Emulator, domains: list[str], change_configuration: Callable[[], None]
) -> None:
    """Kill the owner, and write the request while the next one loads the jobs."""
    owner = site.owner_name()
    if owner is not None:
        site.checker.excuse_gangs(TAKEOVER_LIMIT_S)
        await site.kill(owner)
        until_s = loop_time() + TAKEOVER_LIMIT_S
        while loop_time() < until_s and not is_loading(site):
            await asyncio.sleep(TAKEOVER_POLL_S)
    await _request(site, domains, change_configuration)
    if owner is not None:
        await asyncio.sleep(RESTART_S)
        site.start_process(owner)


async def _request_at_change(
    site: Emulator, domains: list[str], change_configuration: Callable[[], None]
) -> None:
    change_configuration()
    await _request(site, domains, change_configuration)
    change_configuration()


async def _request_at_outage(
    site: Emulator, domains: list[str], change_configuration: Callable[[], None]
) -> None:
    """Let the store, or only the topic of requests, fail once it has the request."""
    await _request(site, domains, change_configuration)
    if site.rng.random() < 0.5:
        site.store.refusing_topics.add("op")
    else:
        site.store.faults[""] = site.rng.choice((StoreFault.REFUSES, StoreFault.SILENT))
    await asyncio.sleep(site.rng.uniform(*OUTAGE_S))
    site.store.refusing_topics.discard("op")
    site.store.faults.pop("", None)
