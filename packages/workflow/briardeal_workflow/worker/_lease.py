"""Duration of the lease under which an owner lets an agent keep the tasks of its worker running."""

LEASE_S = 5.0
"""Duration of the lease, from sending the newest message that the owner has acknowledged. A
restarted agent reconnects sooner, so that its tasks keep running."""

CLOCK_RATE_LIMIT = 1.02
"""Largest ratio of real time to a worker's clock that the contract of the platform allows."""

LEASE_MARGIN_S = 0.5
"""Longest time that a worker takes to end its tasks after its lease has expired."""

LEASE_EXPIRY_S = LEASE_S * CLOCK_RATE_LIMIT + LEASE_MARGIN_S
"""Time after sending a message until all tasks that its lease covered have certainly ended."""
