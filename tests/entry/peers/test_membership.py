"""Entries find each other, and find those that are gone, within seconds."""

from __future__ import annotations

import pytest

from tests.entry.peers.cluster import Cluster

pytestmark = pytest.mark.looptime


async def test_all_find_each_other():
    async with Cluster() as cluster:
        assert cluster.converged()
        assert cluster.streams()
        assert max(cluster.streams().values()) == 1
        assert len(cluster.streams()) == 16
