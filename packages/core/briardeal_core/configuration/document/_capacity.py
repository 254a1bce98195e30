"""Checks of guarantees against the workers that exist."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.configuration._model import Adjacency, Guarantee
from briardeal_core.configuration.document._checks import count_accelerators

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_core.configuration._model import Configuration
    from briardeal_core.configuration.document._tree import TreeReader
    from briardeal_core.jobs import WorkerShape


def check_capacity(
    tree: TreeReader, configuration: Configuration, workers: Sequence[WorkerShape]
) -> None:
    """Add the guarantees that can't hold on the given workers, with the sums.

    Only what is certain is told: guarantees that pass may still not fit all at once, which the
    scheduler finds by placing them.
    """
    for path, value in list(tree.values.items()):
        if isinstance(value, Guarantee):
            _check_shape(tree, path, value, workers)
    left = _without_largest(workers, configuration.failure_margin_vms)
    if not _check_total(tree, configuration, workers, left):
        _check_places(tree, configuration, left)


def _check_shape(
    tree: TreeReader, path: str, guarantee: Guarantee, workers: Sequence[WorkerShape]
) -> None:
    size = guarantee.accelerators_per_vm
    fitting = [worker for worker in workers if worker.accelerators >= size]
    groups = Counter(_group(worker, guarantee.adjacency) for worker in fitting)
    most = max(groups.values(), default=0)
    if most < guarantee.vms:
        where = guarantee.adjacency.replace("_", " ")
        sentence = (
            f"{path} needs {guarantee.vms} VMs with {size} accelerators each in one {where}; "
            f"the {where} with the most has {most}."
        )
        tree.add_mistake(path, sentence)


def _group(worker: WorkerShape, adjacency: Adjacency) -> tuple[str, ...]:
    place = (worker.region, worker.failure_domain, worker.rack)
    depth = {Adjacency.REGION: 1, Adjacency.FAILURE_DOMAIN: 2, Adjacency.RACK: 3}
    return place[: depth[adjacency]]


def _check_total(
    tree: TreeReader,
    configuration: Configuration,
    workers: Sequence[WorkerShape],
    left: Sequence[WorkerShape],
) -> bool:
    sums = {
        customer.name: sum(count_accelerators(item) for item in customer.guarantees)
        for customer in configuration.customers
        if customer.guarantees
    }
    needed = sum(sums.values())
    available = sum(worker.accelerators for worker in left)
    if needed <= available:
        return False
    parts = " + ".join(f"{count} ({name})" for name, count in sums.items())
    sentence = (
        f"guarantees add up to {parts} = {needed} accelerators; {len(workers)} VMs have "
        f"{sum(worker.accelerators for worker in workers)}, and {available} when "
        f"{configuration.failure_margin_vms} of them fail."
    )
    tree.add_mistake("customers", sentence)
    return True


def _check_places(
    tree: TreeReader, configuration: Configuration, left: Sequence[WorkerShape]
) -> None:
    guarantees = [item for customer in configuration.customers for item in customer.guarantees]
    for size in sorted({item.accelerators_per_vm for item in guarantees}, reverse=True):
        needed = sum(item.vms for item in guarantees if item.accelerators_per_vm >= size)
        places = sum(worker.accelerators // size for worker in left)
        if needed > places:
            sentence = (
                f"guarantees need {needed} places of at least {size} accelerators on one VM; "
                f"the VMs offer {places} when {configuration.failure_margin_vms} of them fail."
            )
            tree.add_mistake("customers", sentence)
            return


def _without_largest(workers: Sequence[WorkerShape], count: int) -> list[WorkerShape]:
    by_size = sorted(workers, key=lambda worker: worker.accelerators, reverse=True)
    return by_size[count:]
