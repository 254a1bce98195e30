"""Data model of the operators' configuration."""

from __future__ import annotations

import enum

import msgspec


class Adjacency(enum.StrEnum):
    """Topology level that all VMs of one job or guarantee must share."""

    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"
    REGION = "region"


class JobClass(msgspec.Struct, frozen=True, kw_only=True):
    """A job class and its target times.

    Parameters
    ----------
    name
        Name of the class, unique.
    finish_within_s
        Target time from the acceptance of a job to its completion, in seconds.
    start_within_s
        Target time from the acceptance of a job to its start, in seconds, for urgent classes;
        `None` for other classes.
    """

    name: str
    finish_within_s: float
    start_within_s: float | None = None


class Guarantee(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity that a customer can reclaim at any time from jobs that borrow it.

    Parameters
    ----------
    job_class
        Name of the job class that may use the guarantee.
    vms
        Number of VMs.
    accelerators_per_vm
        Number of accelerators on each VM.
    adjacency
        Topology level that all VMs must share.
    """

    job_class: str
    vms: int
    accelerators_per_vm: int
    adjacency: Adjacency = Adjacency.REGION


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer or team with its guarantees and quota.

    Parameters
    ----------
    name
        Name of the customer, unique.
    guarantees
        Capacity that the customer can reclaim at any time.
    quota_accelerators
        Maximum number of accelerators that the customer may use at once; `None` for no limit.
    request_share
        Share of the slots of each service that is reserved for the requests of the customer,
        between 0 and 1.
    """

    name: str
    guarantees: tuple[Guarantee, ...] = ()
    quota_accelerators: int | None = None
    request_share: float = 0.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The complete operators' configuration, which is always replaced as a whole.

    Parameters
    ----------
    classes
        Job classes.
    customers
        Customers.
    failure_margin_vms
        Number of VMs that may fail at the same time while all guarantees can still be met.
    """

    classes: tuple[JobClass, ...] = ()
    customers: tuple[Customer, ...] = ()
    failure_margin_vms: int = 0
