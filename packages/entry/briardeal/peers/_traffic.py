"""Counter of the bytes exchanged with other entries, by the region of the peer."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal.peers._link import PeerLink
    from briardeal_core.metrics import Metrics


class TrafficCounter:
    """Counts the bytes sent and received on links.

    Parameters
    ----------
    metrics
        Metrics of the process; `None` for no counter.

    Attributes
    ----------
    sent, received
        Bytes since the start, by region of the peer.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self.sent: dict[str, int] = defaultdict(int)
        self.received: dict[str, int] = defaultdict(int)
        self.counter = None
        if metrics is not None:
            self.counter = metrics.counter(
                "briardeal_peer_bytes_total",
                "Bytes between entries by region and direction.",
            )

    def sample(self, link: PeerLink) -> None:
        """Add the bytes of a link since its previous sample."""
        sent = link.connection.bytes_sent - link.counted_sent
        received = link.connection.bytes_received - link.counted_received
        link.counted_sent += sent
        link.counted_received += received
        region = link.member.region
        self.sent[region] += sent
        self.received[region] += received
        if self.counter is not None:
            self.counter.add({"region": region, "direction": "sent"}, sent)
            self.counter.add({"region": region, "direction": "received"}, received)
