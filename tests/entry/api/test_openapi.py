"""The OpenAPI file describes exactly the routes that the entry serves."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import yaml

from briardeal.api import create_app
from briardeal_core.reasons import Reason, RunState

if TYPE_CHECKING:
    from aiohttp import web

OPENAPI = yaml.safe_load((Path(__file__).parents[3] / "docs" / "openapi.yaml").read_text())

pytestmark = pytest.mark.looptime


def served_routes(app: web.Application) -> set[tuple[str, str]]:
    return {
        (route.method, route.resource.canonical)
        for route in app.router.routes()
        if route.method != "HEAD"
    }


async def test_documented_routes_are_those_served(entry):
    documented = {
        (method.upper(), path)
        for path, operations in OPENAPI["paths"].items()
        for method in operations
        if method != "parameters"
    }
    assert documented == served_routes(create_app(entry))


async def test_documented_refusal_matches_a_served_one(client):
    schema = OPENAPI["components"]["schemas"]["Refusal"]["properties"]
    assert set(schema["run_state"]["enum"]) == {state.value for state in RunState}
    response = await client.get("/v1/jobs/none")
    refusal = await response.json()
    assert set(refusal) == set(schema)
    assert refusal["reason"] == Reason.JOB_UNKNOWN.code
    assert response.status == 404
