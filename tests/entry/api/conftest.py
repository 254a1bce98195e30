"""Fixtures for one entry with its HTTP API on an in-memory log."""

from __future__ import annotations

import random

import pytest
from aiohttp.test_utils import TestClient, TestServer

from briardeal.api import create_app
from briardeal.config import EntrySettings
from briardeal.structure import Entry
from briardeal_core.clock import WallClock
from briardeal_core.settings import load_settings
from briardeal_protocol.connections import MemoryNetwork
from briardeal_standins.log import LogStore, MemoryLog

FLAGS = {"entry_id": "e1", "region": "r", "failure_domain": "d", "log": "127.0.0.1:1"}
EPOCH_S = 1_800_000_000.0


class NoEndpoints:
    async def send(self, address, request, timeout_s):
        raise AssertionError("no endpoint exists")


@pytest.fixture
async def entry():
    settings, _ = load_settings(EntrySettings, FLAGS, {})
    log = MemoryLog(LogStore(None))
    entry = Entry(
        settings, MemoryNetwork(), log, NoEndpoints(), WallClock(EPOCH_S), random.Random(1)
    )
    async with entry:
        yield entry


@pytest.fixture
async def client(entry):
    async with TestClient(TestServer(create_app(entry))) as client:
        yield client
