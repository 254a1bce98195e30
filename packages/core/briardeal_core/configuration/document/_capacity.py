"""Checks of guarantees against the capacity of the existing workers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.configuration._model import Adjacency, Guarantee
from briardeal_core.configuration.document._checks import count_accelerators

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_core.configuration._model import Configuration
    from briardeal_core.configuration.document._yaml_reader import YamlReader
    from briardeal_core.jobs import WorkerShape


def check_capacity(
    reader: YamlReader, configuration: Configuration, workers: Sequence[WorkerShape]
) -> None:
    """Add an error for each guarantee or sum of guarantees that the workers can't satisfy.

    The checks are necessary conditions only. Guarantees that pass them may still not fit all at
    once; the scheduler detects that when it places them.
    """
    for path, value in list(reader.values.items()):
        if isinstance(value, Guarantee):
            _check_guarantee(reader, path, value, workers)
    remaining = _without_largest(workers, configuration.failure_margin_vms)
    if not _check_total(reader, configuration, workers, remaining):
        _check_blocks(reader, configuration, remaining)


def _check_guarantee(
    reader: YamlReader, path: str, guarantee: Guarantee, workers: Sequence[WorkerShape]
) -> None:
    size = guarantee.accelerators_per_vm
    fitting = [worker for worker in workers if worker.accelerators >= size]
    groups = Counter(_placement_group(worker, guarantee.adjacency) for worker in fitting)
    most = max(groups.values(), default=0)
    if most < guarantee.vms:
        where = guarantee.adjacency.replace("_", " ")
        message = (
            f"{path} needs {guarantee.vms} VMs with {size} accelerators each in one {where}; "
            f"the {where} with the most has {most}."
        )
        reader.add_error(path, message)


def _placement_group(worker: WorkerShape, adjacency: Adjacency) -> tuple[str, ...]:
    place = (worker.region, worker.failure_domain, worker.rack)
    depth = {Adjacency.REGION: 1, Adjacency.FAILURE_DOMAIN: 2, Adjacency.RACK: 3}
    return place[: depth[adjacency]]


def _check_total(
    reader: YamlReader,
    configuration: Configuration,
    workers: Sequence[WorkerShape],
    remaining: Sequence[WorkerShape],
) -> bool:
    sums = {
        customer.name: sum(count_accelerators(item) for item in customer.guarantees)
        for customer in configuration.customers
        if customer.guarantees
    }
    needed = sum(sums.values())
    available = sum(worker.accelerators for worker in remaining)
    if needed <= available:
        return False
    parts = " + ".join(f"{count} ({name})" for name, count in sums.items())
    message = (
        f"guarantees add up to {parts} = {needed} accelerators; {len(workers)} VMs have "
        f"{sum(worker.accelerators for worker in workers)}, and {available} when "
        f"{configuration.failure_margin_vms} of them fail."
    )
    reader.add_error("customers", message)
    return True


def _check_blocks(
    reader: YamlReader, configuration: Configuration, remaining: Sequence[WorkerShape]
) -> None:
    guarantees = [item for customer in configuration.customers for item in customer.guarantees]
    for size in sorted({item.accelerators_per_vm for item in guarantees}, reverse=True):
        needed = sum(item.vms for item in guarantees if item.accelerators_per_vm >= size)
        blocks = sum(worker.accelerators // size for worker in remaining)
        if needed > blocks:
            message = (
                f"guarantees need {needed} blocks of at least {size} accelerators, each on one VM; "
                f"the VMs have {blocks} such blocks when "
                f"{configuration.failure_margin_vms} of them fail."
            )
            reader.add_error("customers", message)
            return


def _without_largest(workers: Sequence[WorkerShape], count: int) -> list[WorkerShape]:
    by_size = sorted(workers, key=lambda worker: worker.accelerators, reverse=True)
    return by_size[count:]
