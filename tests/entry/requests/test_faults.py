"""No fault, alone or with another, breaks a promise to callers."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.checkers.faults import FAULTS
from tests.checkers.site import Site, drive

pytestmark = pytest.mark.looptime

PAIR_SEEDS = range(12)


async def suffer(site, faults):
    """Send requests while faults come at random moments."""

    async def strike(fault):
        await asyncio.sleep(site.rng.uniform(0.5, 2.0))
        await fault(site)

    work = drive(site, seconds=6, per_second=60, keyed=0.4)
    await asyncio.gather(work, *(strike(fault) for fault in faults))


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_one_fault(fault):
    async with Site(entries=3, slots=4) as site:
        await suffer(site, [fault])
        assert site.violations() == []
        assert sum(call.told == "answer" for call in site.calls) > len(site.calls) / 2


@pytest.mark.parametrize("seed", PAIR_SEEDS)
async def test_two_faults(seed):
    faults = random.Random(seed).sample(FAULTS, 2)
    async with Site(entries=3, slots=4, seed=seed) as site:
        await suffer(site, faults)
        assert site.violations() == []
