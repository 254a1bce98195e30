"""Only the failures that KNOWN-RED.txt lists are tolerated."""

from __future__ import annotations

import pytest

from bench import __main__ as bench_main
from bench.figures import Bound, Figure
from bench.known_red import KNOWN_RED_FILE, KnownRed, load_known_red

RED = Figure("jobs", "double starts", 1, "count", Bound("==", 0))
GREEN = Figure("jobs", "double starts", 0, "count", Bound("==", 0))
ENTRY = KnownRed(check="bench: jobs: double starts", command="", seed="1", seen="", question="")


@pytest.mark.parametrize(
    ("figure", "listed", "passes"),
    [(GREEN, False, True), (RED, False, False), (RED, True, True), (GREEN, True, False)],
)
def test_the_runner_expects_exactly_the_listed_failures(figure, listed, passes, monkeypatch):
    known_red = {ENTRY.check: ENTRY} if listed else {}
    monkeypatch.setattr(bench_main, "load_known_red", lambda: known_red)
    assert bench_main._report([figure], complete=False) is passes


@pytest.mark.parametrize("complete", [True, False])
def test_a_listed_figure_that_is_not_measured_fails_a_complete_run(complete, monkeypatch):
    monkeypatch.setattr(bench_main, "load_known_red", lambda: {ENTRY.check: ENTRY})
    assert bench_main._report([], complete=complete) is not complete


def test_an_entry_without_its_question_is_an_error(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("- check: a\n  command: b\n  seed: c\n  seen: d\n")
    with pytest.raises(Exception, match="question"):
        load_known_red(path)


def test_every_listed_test_exists():
    for check in load_known_red():
        if check.startswith(("bench: ", "users' bench: ")):
            continue
        path, _, name = check.partition("::")
        assert f"def {name}(" in (KNOWN_RED_FILE.parent / path).read_text(), check
