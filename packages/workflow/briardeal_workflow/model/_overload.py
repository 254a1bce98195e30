"""What an operator has chosen for times of too little capacity."""

from __future__ import annotations

import attrs


@attrs.frozen
class OverloadPolicy:
    """Choices of the operator for times of too little capacity; by default none is made.

    Parameters
    ----------
    estimates_admission
        Whether jobs that can't be of use any more are refused by an estimate of their end.
    fair_order
        Whether customers are served by what they got against their guarantees, and jobs of no more
        use after all others.
    stops_departing
        Whether tasks without checkpoints are stopped on leaving VMs where they can't end in time.
    moves_stragglers
        Whether tasks are moved from VMs that have turned very slow.
    """

    estimates_admission: bool = False
    fair_order: bool = False
    stops_departing: bool = False
    moves_stragglers: bool = False
