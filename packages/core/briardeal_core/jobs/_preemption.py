"""Weight of earlier preemptions in the choice of what to preempt."""

EARLIER_LOSS_FACTOR = 2.0
"""Weight of the work that earlier preemptions of a task lost. A task that is stopped repeatedly has
lost about as much as others hold that run all the while; only above 1 are these stopped instead."""
