"""Checks that are known to fail, each with the observed result and the open question."""

from __future__ import annotations

from pathlib import Path

import msgspec

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownRed(msgspec.Struct, frozen=True, kw_only=True):
    """One check that is expected to fail.

    Parameters
    ----------
    check
        Node id of a test, or `bench: GROUP: NAME` for a figure.
    command
        Command that shows the failure.
    seed
        Seed of the run, or `none`.
    seen
        Observed result of the run.
    question
        Open question about the failure.
    """

    check: str
    command: str
    seed: str
    seen: str
    question: str


def load_known_red(path: Path = KNOWN_RED_FILE) -> dict[str, KnownRed]:
    """Return the entries of the file by check; an entry that lacks a field is an error."""
    entries = msgspec.yaml.decode(path.read_bytes(), type=list[KnownRed] | None)
    return {entry.check: entry for entry in entries or []}
