"""Intervals and timeouts of the owner, in seconds."""

OWNER_LEASE_S = 6.0
"""Time for which the owner may send orders after the store last confirmed its ownership."""

RENEW_INTERVAL_S = 0.5
"""Interval between confirmations of the ownership; also bounds the detection of a failed store."""

CONFIRM_PAUSE_S = 0.25
"""Time after which a confirmation of the ownership is sent again; slow answers take 0.25 s."""

AGENT_SILENCE_S = 1.5
"""Silence after which a VM gets no new work; agents send a heartbeat every 0.4 s."""

MAX_ROUND_INTERVAL_S = 0.25
"""Maximum time between two planning rounds; bounds how late due times and expiries are found."""

ROUND_DELAY_S = 0.01
"""Delay before a planning round, so that simultaneous events are handled in one round."""

ACCEPT_INTERVAL_S = 0.05
"""Interval between checks for new agents; those that connect together share one append."""

RESEND_TIMEOUT_S = 1.5
"""Time after which an order is sent again if reports show no effect of it."""

REPORT_WAIT_S = 0.5
"""Time after a takeover in which jobs wait for the reports of all VMs, so that they are served by
class on all capacity; connected agents report within 0.2 s."""

READ_AGAIN_S = 0.5
"""Pause before the records of starts are read again that a takeover could not read in time."""

STORE_WAIT_S = 2.0
"""Interval at which the time for which agents have been waited is stored; the next owner may wait
as much longer."""
