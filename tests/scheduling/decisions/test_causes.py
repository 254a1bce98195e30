"""Every cause is used, and its sentence is unique and has its placeholders filled."""

from __future__ import annotations

import ast
import string
from pathlib import Path

import briardeal_scheduling
from briardeal_scheduling import Cause

PACKAGE = Path(briardeal_scheduling.__file__).parent
CATALOGUE = PACKAGE / "decisions" / "_causes.py"


def used_causes() -> set[str]:
    """Return the names of the causes used in the code outside their catalogue."""
    return {
        node.attr
        for path in PACKAGE.rglob("*.py")
        if path != CATALOGUE
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "Cause"
    }


def test_catalogue_holds_exactly_the_causes_in_use() -> None:
    assert used_causes() == {cause.name for cause in Cause}


def test_sentences_end_with_a_full_stop_and_are_unique() -> None:
    sentences = [cause.value for cause in Cause]
    assert len(set(sentences)) == len(sentences)
    assert all(sentence.endswith(".") for sentence in sentences)
    for cause in Cause:
        placeholders = {
            name: "x" for _, name, _, _ in string.Formatter().parse(cause.value) if name
        }
        assert "{" not in cause.format_sentence(**placeholders)
