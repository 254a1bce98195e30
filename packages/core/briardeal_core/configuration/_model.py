"""The typed form of the operators' configuration."""

from __future__ import annotations

import enum

import msgspec


class Adjacency(enum.StrEnum):
    """How close together the VMs of one job or guarantee must be."""

    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"
    REGION = "region"


class JobClass(msgspec.Struct, frozen=True, kw_only=True):
    """A class of work and its targets.

    Parameters
    ----------
    name
        Name of the class, unique.
    finish_within_s
        Target time from acceptance to the end of a job, in seconds.
    start_within_s
        Target time from acceptance to the start, in seconds, for urgent work; `None` for other
        work.
    """

    name: str
    finish_within_s: float
    start_within_s: float | None = None


class Guarantee(msgspec.Struct, frozen=True, kw_only=True):
    """A shape of capacity that a customer can always have back.

    Parameters
    ----------
    job_class
        The class of work that may claim it.
    vms
        Number of VMs.
    accelerators_per_vm
        Accelerators on each of them.
    adjacency
        How close together the VMs must be.
    """

    job_class: str
    vms: int
    accelerators_per_vm: int
    adjacency: Adjacency = Adjacency.REGION


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer or team, its guarantees and its quota.

    Parameters
    ----------
    name
        Name of the customer, unique.
    guarantees
        Shapes that can always be reclaimed.
    quota_accelerators
        Most accelerators that it may hold at once; `None` for no limit.
    request_share
        Share of each service's slots that is kept for its requests, between 0 and 1.
    """

    name: str
    guarantees: tuple[Guarantee, ...] = ()
    quota_accelerators: int | None = None
    request_share: float = 0.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that operators set, as one value that is replaced in whole.

    Parameters
    ----------
    classes
        Classes of work.
    customers
        Customers.
    failure_margin_vms
        VMs that may fail at once without any guarantee falling short.
    """

    classes: tuple[JobClass, ...] = ()
    customers: tuple[Customer, ...] = ()
    failure_margin_vms: int = 0
