"""Validation of the configuration file reports all errors with their positions."""

from __future__ import annotations

import pytest

from briardeal_core.configuration import Adjacency, Configuration
from briardeal_core.configuration.document import ConfigurationErrors, load_configuration
from briardeal_core.jobs import WorkerShape

VALID = """
classes:
  - name: fieldwork sampling
    finish_within_s: 7200
    start_within_s: 1.1
customers:
  - name: north
    quota_accelerators: 32
    request_share: 0.5
    guarantees:
      - job_class: fieldwork sampling
        vms: 2
        accelerators_per_vm: 8
        adjacency: rack
failure_margin_vms: 1
"""


def workers(count):
    return [
        WorkerShape(
            worker_id=f"w{index}",
            region="r",
            failure_domain="d",
            rack=f"rack{index // 3}",
            accelerators=8,
        )
        for index in range(count)
    ]


def positions(outcome):
    return [(error.line, error.column) for error in outcome.errors]


def test_valid_file_is_loaded():
    loaded = load_configuration(VALID, workers(11))
    assert isinstance(loaded, Configuration)
    assert loaded.customers[0].guarantees[0].adjacency is Adjacency.RACK


def test_all_errors_are_reported_with_their_positions():
    text = (
        VALID.replace("finish_within_s: 7200", "finish_within_s: .nan")
        .replace("quota_accelerators: 32", "quota_acelerators: 32")
        .replace("vms: 2", "vms: two")
        .replace("adjacency: rack", "adjacency: shelf")
        .replace("request_share: 0.5", "request_share: 1.5")
        .replace("failure_margin_vms: 1", "failure_margin_vms: -1")
    )
    outcome = load_configuration(text, workers(11))
    assert positions(outcome) == [(4, 22), (8, 5), (9, 20), (12, 14), (14, 20), (15, 21)]
    assert "Did you mean 'quota_accelerators'?" in outcome.errors[1].message
    assert outcome.errors[3].message == (
        "customers[0].guarantees[0].vms is 'two'; allowed: a whole number from 1 to 10000."
    )


@pytest.mark.parametrize(
    ("old", "new", "position", "message_part"),
    [
        ("- job_class: fieldwork", "- job_class: feldwork", (11, 20), "Did you mean"),
        ("quota_accelerators: 32", "quota_accelerators: 15", (8, 25), "2 x 8 = 16"),
        ("start_within_s: 1.1", "start_within_s: 9000", (5, 21), "later than"),
        ("    finish_within_s: 7200\n", "", (3, 5), "finish_within_s is missing"),
        ("  - name: north", "  - name: north\n  - name: north", (8, 11), "used twice"),
        ("vms: 2", "vms: 4", (11, 9), "the rack with the most has 3"),
        ("failure_margin_vms: 1", "failure_margin_vms: 10", (7, 3), "= 16 accelerators; 11 VMs"),
        ("classes:", "classes: [", (3, 3), "not valid YAML"),
    ],
)
def test_each_kind_of_error_is_found(old, new, position, message_part):
    outcome = load_configuration(VALID.replace(old, new, 1), workers(11))
    assert isinstance(outcome, ConfigurationErrors)
    assert message_part in str(outcome)
    assert position in positions(outcome)


def test_blocks_of_accelerators_on_one_vm_are_counted():
    text = VALID.replace("accelerators_per_vm: 8", "accelerators_per_vm: 5").replace(
        "vms: 2\n", "vms: 3\n"
    )
    text = text.replace("adjacency: rack", "adjacency: region").replace(
        "margin_vms: 1", "margin_vms: 2"
    )
    outcome = load_configuration(text, workers(4))
    message = "need 3 blocks of at least 5 accelerators, each on one VM; the VMs have 2 such blocks"
    assert message in str(outcome)


@pytest.mark.parametrize(
    "text",
    ["", "- 1", "a: &a [*a]", "\x00", "x" * 600_000, "{{}: 1}", "[" * 5000, "a: " + "{b: " * 900],
)
def test_malformed_file_returns_errors(text):
    assert isinstance(load_configuration(text), ConfigurationErrors)
