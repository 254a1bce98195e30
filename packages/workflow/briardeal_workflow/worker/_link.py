"""State of a connection between an agent and an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection

LINK_SILENCE_LIMIT_S = 1.5
"""Silence of an entry after which the agent reconnects to it."""

SEND_TIMES_LIMIT = 64
"""Number of unacknowledged messages per connection whose send times are stored."""


@attrs.define(eq=False)
class EntryLink:
    """A connection to an entry.

    Attributes
    ----------
    address, connection
        Control address of the entry, and the connection to it.
    sent_s
        Send times of recent messages by sequence number, on the clock of `boottime_s`.
    last_received_s
        When the newest message arrived from the entry, on the loop's clock.
    """

    address: str
    connection: Connection
    sent_s: dict[int, float] = attrs.field(factory=dict)
    last_received_s: float = 0.0
