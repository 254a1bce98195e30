"""What operators have configured: queues, services and customers."""

from __future__ import annotations

import attrs


@attrs.frozen
class Queue:
    """Jobs of one class.

    Parameters
    ----------
    name
        Its name.
    host, path_prefix
        Where callers reach it.
    service
        Service whose VMs run its tasks.
    priority
        0 goes first and may preempt others.
    failure_limit
        Failed runs after which a task, and with it its job, has failed.
    stretch_limit
        Multiple of the longest chain of work within which a job should finish.
    latency_target_s
        What a job may take beyond that.
    key_exempt
        Whether callers need no key.
    advised
        Whether a service decides which VMs may run a step.
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


@attrs.frozen
class Service:
    """A pool of VMs.

    Parameters
    ----------
    name
        Its name.
    enforces_capacity
        Whether its workers themselves refuse what does not fit.
    """

    name: str
    enforces_capacity: bool = False


@attrs.frozen
class Customer:
    """Someone who submits jobs.

    Parameters
    ----------
    name
        Its name.
    keys
        Keys that its callers present.
    guaranteed_accelerators
        Accelerators that its jobs of priority 0 can always have.
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
        Its number; higher ones replace lower ones.
    queues, services, customers
        What it holds.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    customer_of_key: dict[str, Customer] = attrs.field(init=False, eq=False, repr=False)
    by_name: dict[str, Queue] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        keys = {key: customer for customer in self.customers for key in customer.keys}
        object.__setattr__(self, "customer_of_key", keys)
        object.__setattr__(self, "by_name", {queue.name: queue for queue in self.queues})

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        fitting = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.path_prefix), default=None)

    def guaranteed_accelerators_of(self, customer: str) -> int:
        """Return the accelerators that a customer can always have."""
        for each in self.customers:
            if each.name == customer:
                return each.guaranteed_accelerators
        return 0
