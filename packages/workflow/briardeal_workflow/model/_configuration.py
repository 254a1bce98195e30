"""Configuration by operators: queues, services and customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.events import Event, log_event
from briardeal_workflow.model._job import JobTerms

if TYPE_CHECKING:
    from briardeal_workflow.model._job import Job


@attrs.frozen
class Queue:
    """Queue of jobs of one class.

    Parameters
    ----------
    name
        Name of the queue.
    host, path_prefix
        Host and path prefix of the requests that belong to the queue.
    service
        Service whose VMs run its tasks.
    priority
        Priority of its jobs; 0 is the most urgent and may preempt others.
    failure_limit
        Failed attempts of a task after which the task and its job fail.
    stretch_limit
        Multiple of the declared run time of the longest chain of steps within which a job should
        finish.
    latency_target_s
        Time that a job may take in addition to that multiple, in seconds.
    key_exempt
        Whether callers need no API key.
    advised
        Whether an advice service decides which VMs may run a step.
    regions
        Regions in which its tasks may run; empty for any.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    failure_limit: int = 1
    stretch_limit: float = 1.0
    latency_target_s: float = 0.0
    key_exempt: bool = False
    advised: bool = False
    regions: tuple[str, ...] = ()

    def allows_region(self, region: str) -> bool:
        """Return whether tasks may run on VMs of a region; an unknown one is empty."""
        return not self.regions or region in self.regions

    @property
    def terms(self) -> JobTerms:
        """Terms that a job keeps while the queue is not configured."""
        return JobTerms(
            self.priority, self.failure_limit, self.stretch_limit, self.latency_target_s
        )


@attrs.frozen
class Service:
    """A pool of VMs.

    Parameters
    ----------
    name
        Name of the service.
    enforces_capacity
        Whether its workers reject tasks that exceed their capacity.
    """

    name: str
    enforces_capacity: bool = False


@attrs.frozen
class Customer:
    """Customer who submits jobs.

    Parameters
    ----------
    name
        Name of the customer.
    keys
        API keys of its callers.
    guaranteed_accelerators
        Accelerators guaranteed to its jobs of priority 0.
    """

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int = 0


@attrs.frozen
class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    version
        Version number; a higher version replaces a lower one.
    queues, services, customers
        Configured queues, services and customers.

    Attributes
    ----------
    customer_of_key
        Customers by API key.
    queues_by_name
        Queues by name.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    customer_of_key: dict[str, Customer] = attrs.field(init=False, eq=False, repr=False)
    queues_by_name: dict[str, Queue] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        keys = {key: customer for customer in self.customers for key in customer.keys}
        object.__setattr__(self, "customer_of_key", keys)
        object.__setattr__(self, "queues_by_name", {queue.name: queue for queue in self.queues})

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)

    def queue_of(self, job: Job) -> Queue:
        """Return the queue of a job, by the terms of the job if the queue is not configured."""
        queue = self.queues_by_name.get(job.queue)
        if queue is not None:
            return queue
        terms = msgspec.structs.asdict(job.terms)
        return Queue(job.queue, host="", path_prefix="", service=job.service, **terms)

    def guaranteed_accelerators_of(self, customer: str) -> int:
        """Return the accelerators guaranteed to a customer; 0 for an unknown customer."""
        for each in self.customers:
            if each.name == customer:
                return each.guaranteed_accelerators
        return 0


def reject_outdated(configuration: Configuration, in_force: Configuration) -> bool:
    """Return whether a configuration is older than the one in force, and log it if so."""
    outdated = configuration.version < in_force.version
    if outdated:
        log_event(
            Event.CONFIGURATION_OUTDATED,
            version=configuration.version,
            in_force=in_force.version,
        )
    return outdated
