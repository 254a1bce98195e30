"""Stand-in of the operators' requests to evacuate failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.evacuation import EvacuationRequests
from briardeal_workflow.store import Follower, Record

if TYPE_CHECKING:
    from briardeal_standins.emulator._store import MemoryStore
    from briardeal_workflow.entry import Entry

OPERATOR_TOPIC = "op"
EVACUATION_PREFIX = "evacuate/"
READ_WAIT_S = 0.5


def write_evacuation(store: MemoryStore, domain: str, value: bytes | None) -> None:
    """Write the request to evacuate a failure domain, or remove it if there is no value."""
    record = Record(f"{EVACUATION_PREFIX}{domain}", value)
    store.write(OPERATOR_TOPIC, [record], None, None)


def follow_evacuations(entry: Entry) -> Follower:
    """Return a reader that passes the evacuated domains to an entry."""
    requests = EvacuationRequests(entry.evacuate)

    def apply(record: Record) -> None:
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        requests.apply(domain, record.offset, removed=record.value is None)

    def complete_load(keys: frozenset[str], end: int) -> None:
        requests.complete_load({key.removeprefix(EVACUATION_PREFIX) for key in keys}, end)

    reader = Follower(
        entry.store, OPERATOR_TOPIC, apply, READ_WAIT_S, complete_load, probes_overlap=True
    )
    entry.evacuations.reader = reader
    return reader
