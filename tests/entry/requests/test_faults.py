"""Guarantees to callers hold under every fault and under pairs of faults."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_standins.site import FAULTS, Site, send_load
from tests.checkers.requests import find_violations

pytestmark = pytest.mark.looptime(noop_cycles=1)

PAIR_SEEDS = range(8)
WORK_S = 0.15


def busy_site(seed):
    """Return a site most of whose slots are in use."""
    work_rng = random.Random(seed)
    return Site(entries=3, slots=4, seed=seed, work_s=lambda: work_rng.expovariate(1 / WORK_S))


async def send_under_faults(site, faults):
    """Send requests while faults occur at random times."""

    async def inject(fault):
        await asyncio.sleep(site.rng.uniform(0.5, 2.0))
        await fault(site)

    work = send_load(site, duration_s=6, requests_per_s=60, keyed_share=0.4)
    await asyncio.gather(work, *(inject(fault) for fault in faults))


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_guarantees_hold_under_one_fault(fault):
    async with busy_site(seed=1) as site:
        await send_under_faults(site, [fault])
        assert find_violations(site) == []
        assert sum(call.outcome == "answer" for call in site.calls) > len(site.calls) / 2


@pytest.mark.parametrize("seed", PAIR_SEEDS)
async def test_guarantees_hold_under_two_faults(seed):
    faults = random.Random(seed).sample(FAULTS, 2)
    async with busy_site(seed) as site:
        await send_under_faults(site, faults)
        assert find_violations(site) == []
