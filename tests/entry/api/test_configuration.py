"""Operators change the configuration over HTTP, and one of two concurrent changes is accepted."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.commands import config as command
from briardeal.operators import OperatorClient, OperatorSettings

pytestmark = pytest.mark.looptime

FILE = "classes: [{name: sampling, finish_within_s: 600}]\n"
OTHER = "classes: [{name: sampling, finish_within_s: 300}]\n"
INVALID = "classes: [{name: sampling, finish_within_s: -1}]\nfailure_margin: 1\n"


async def apply(client, text, expected_version, author):
    url = f"/v1/configuration?expected_version={expected_version}"
    response = await client.put(url, data=text, headers={"Briardeal-Author": author})
    return response.status, await response.json()


async def test_accepted_change_is_shown_with_its_author(client):
    status, accepted = await apply(client, FILE, 0, "ana")
    assert status == 200
    shown = await (await client.get("/v1/configuration")).json()
    assert (shown["version"], shown["author"]) == (accepted["version"], "ana")
    assert shown["configuration"]["classes"][0]["finish_within_s"] == 600


async def test_conflicting_change_is_refused_with_the_other_author_and_change(client):
    _, first = await apply(client, FILE, 0, "ana")
    _, second = await apply(client, OTHER, first["version"], "boris")
    status, refusal = await apply(client, FILE, first["version"], "cene")
    assert (status, refusal["reason"], refusal["run_state"]) == (
        409,
        "configuration_conflict",
        "not_run",
    )
    assert "boris" in refusal["message"]
    assert "finish_within_s was 600" in refusal["message"]
    diff = await client.get(
        f"/v1/configuration/diff?old={first['version']}&new={second['version']}"
    )
    assert len((await diff.json())["changes"]) == 1


async def test_every_mistake_is_reported_with_its_line(client):
    status, refusal = await apply(client, INVALID, 0, "ana")
    assert (status, refusal["reason"]) == (422, "configuration_invalid")
    assert "line 1" in refusal["message"]
    assert "line 2" in refusal["message"]
    assert (await (await client.get("/v1/configuration")).json())["version"] == 0


async def test_lost_configuration_is_replaced_only_if_records_are_missing(
    entry, client, tmp_path, capsys
):
    file = tmp_path / "file.yaml"
    file.write_text(OTHER)
    server = f"{client.host}:{client.port}"
    operator = OperatorClient(OperatorSettings(entry=server, author="boris"))
    path = "/v1/configuration/lost"
    _, first = await apply(client, FILE, 0, "ana")
    assert (await operator.put(path, OTHER)).reason == "configuration_not_lost"
    store = entry.configuration
    store.follower.snapshots.log.store.drop_before("configuration", first["version"])
    store.follower.reader.seek(0)
    await asyncio.sleep(10)
    assert (await apply(client, OTHER, first["version"], "ana"))[1]["reason"] == "log_gap"
    assert (await operator.put(path, INVALID)).reason == "configuration_invalid"
    await command._put(operator, path, file)
    assert capsys.readouterr().out == "Accepted as version 2.\n"
    shown = await operator.get("/v1/configuration")
    assert (shown["version"], shown["author"], shown["unreadable_version"]) == (2, "boris", None)
