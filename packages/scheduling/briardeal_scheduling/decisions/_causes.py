"""Catalogue of the causes of decisions, each with the sentence shown to customers."""

from __future__ import annotations

import enum


class Cause(enum.Enum):
    """Cause of a decision; its value is a sentence with named placeholders."""

    STARTED_IN_GUARANTEE = "It runs on {vms} VM(s) kept for the guarantee of {customer}."
    STARTED_ON_FREE = "It runs on {vms} VM(s) in {place}, the tightest free room that holds it."
    STARTED_AHEAD_OF_HOLE = (
        "It runs on VM(s) kept for a larger job, since it should end before that one starts."
    )
    STARTED_AFTER_RECLAIM = "It runs on {vms} VM(s) that other work gave back for it."
    ADOPTED = "It was found running on {vms} VM(s) and goes on there."
    ACCEPTED = "It was accepted; its class {job_class} is to finish within {target}."
    WAITS_FOR_RECLAIM = "It waits for {victims} job(s) to give back VMs, until {until} at most."
    WAITS_FOR_HOLE = (
        "It needs {vms} VM(s) at once; a place in {place} is kept for it, free in about {until}."
    )
    WAITS_FOR_ROOM = "No set of VMs that fits it is free; work nearer to its target goes first."
    WAITS_BEHIND_HOLE = "The free VMs are kept for a larger job that has waited longer."
    WAITS_FOR_GUARANTEES = (
        "The free VMs are guaranteed to other customers, and this job could not give them back."
    )
    WAITS_FOR_QUOTA = "{customer} holds {held} of the {quota} accelerators that its quota allows."
    WAITS_AFTER_FAILURE = "It failed on {worker} and is tried again elsewhere in about {until}."
    WAITS_FOR_WORKERS = "VMs that it needs are down at the moment."
    PREEMPTED_FOR_GUARANTEE = "Its VMs were lent to it and {customer} asked for its guarantee."
    PREEMPTED_FOR_URGENT = "An urgent job of {customer} had to start, and this one lost least work."
    PREEMPTED_FOR_TARGET = "A job of {customer} would have missed its target, this one has time."
    CHECKPOINT_TOO_SLOW = "Its checkpoint was not written in time, so it was stopped."
    CANCELLED = "Its customer cancelled it."
    LOST_WORKER = "The VM {worker} was lost, so the whole job stopped."
    FAILED_ON_WORKER = "It failed on {worker}."
    NOT_STARTED = "{worker} had no room after all, so nothing of it ran."
    RESUMED_FROM_CHECKPOINT = "It was stopped and goes on from its checkpoint."
    STOPPED_WITHOUT_CHECKPOINT = "It was stopped and starts again from its last checkpoint, if any."
    FINISHED = "It has finished."
    GAVE_UP_FAILS_EVERYWHERE = "It failed on {count} different VMs where other work runs well."
    GAVE_UP_MAY_HAVE_RUN = "It may not run twice, and its only run broke off."
    REFUSED_NEVER_FITS = "No {vms} VM(s) with {accelerators} accelerators stand close enough."
    REFUSED_GUARANTEES = "It can't be preempted, and the guarantees leave no room of that shape."
    REFUSED_QUOTA = "It needs {needed} accelerators, and the quota of {customer} is {quota}."
    REFUSED_UNKNOWN_CUSTOMER = "No customer {customer} is configured."
    REFUSED_UNKNOWN_CLASS = "No class {job_class} is configured."
    REFUSED_SHAPE = (
        "A job needs one task or more, accelerators of zero or more, and a run time above zero."
    )
    GUARANTEE_SHORT = (
        "{customer} can have {held} of its {wanted} guaranteed VMs for {job_class}: too few VMs of "
        "that shape are up. What is left is shared so that the customer with the smallest part of "
        "its guarantee is served first."
    )
    MARGIN_SHORT = "All guarantees hold, but not if {margin} more VM(s) fail."

    @property
    def waits(self) -> bool:
        """Whether this is a cause of waiting."""
        return self.name.startswith("WAITS_")

    def format_sentence(self, **fields: object) -> str:
        """Return the sentence with its placeholders filled."""
        return self.value.format(**fields)
