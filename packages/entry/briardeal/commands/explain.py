"""Explanation of what became of a job."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import click

from briardeal.operators import OperatorClient, Refused

if TYPE_CHECKING:
    from briardeal.operators import OperatorSettings

REFUSED_EXIT_CODE = 1


def explain(settings: OperatorSettings, job_id: str) -> None:
    """Print the sentences that explain a job."""
    client = OperatorClient(settings)
    outcome = asyncio.run(client.get(f"/v1/jobs/{job_id}/explanation"))
    if isinstance(outcome, Refused):
        click.echo(f"{outcome.reason}: {outcome.message}", err=True)
        sys.exit(REFUSED_EXIT_CODE)
    for sentence in outcome["sentences"]:
        click.echo(sentence)
