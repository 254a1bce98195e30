"""Command that explains the history of a job."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import click

from briardeal.operators import OperatorClient, Refused
from briardeal_workflow.explanation import explain_job, read_log

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from briardeal.operators import OperatorSettings

REFUSED_EXIT_CODE = 1


def explain(settings: OperatorSettings, job_id: str) -> None:
    """Print the explanation of a job given by an entry."""
    client = OperatorClient(settings)
    outcome = asyncio.run(client.get(f"/v1/jobs/{job_id}/explanation"))
    if isinstance(outcome, Refused):
        click.echo(f"{outcome.reason}: {outcome.message}", err=True)
        sys.exit(REFUSED_EXIT_CODE)
    for sentence in outcome["sentences"]:
        click.echo(sentence)


def explain_from_log(files: Sequence[Path], job_id: str) -> None:
    """Print the explanation of a job derived from log files."""
    lines = (line for file in files for line in file.read_text(errors="replace").splitlines())
    for sentence in explain_job(read_log(lines), job_id):
        click.echo(sentence)
