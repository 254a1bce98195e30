"""Every cause has a sentence, and every gap of a sentence is filled where it is used."""

from __future__ import annotations

import ast
import string
from pathlib import Path

import briardeal_scheduling
from briardeal_scheduling import Cause

PACKAGE = Path(briardeal_scheduling.__file__).parent
CATALOGUE = PACKAGE / "decisions" / "_causes.py"


def used_causes() -> set[str]:
    """Return the causes named in the code outside their catalogue."""
    return {
        node.attr
        for path in PACKAGE.rglob("*.py")
        if path != CATALOGUE
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "Cause"
    }


def test_every_cause_in_use_has_a_sentence_and_every_sentence_is_in_use() -> None:
    assert used_causes() == {cause.name for cause in Cause}


def test_sentences_end_and_differ() -> None:
    sentences = [cause.value for cause in Cause]
    assert len(set(sentences)) == len(sentences)
    assert all(sentence.endswith(".") for sentence in sentences)
    for cause in Cause:
        gaps = {name: "x" for _, name, _, _ in string.Formatter().parse(cause.value) if name}
        assert "{" not in cause.format_sentence(**gaps)
