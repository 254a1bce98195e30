"""Fetching the configuration from peers when the log does not deliver it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.peers._interfaces import ConfigurationSource
    from briardeal.peers._link import PeerLink

LOG_GRACE_S = 0.5
"""Time for the log to deliver a newer version before peers are asked, in seconds."""

ANSWER_TIMEOUT_S = 1.0


class ConfigurationExchange:
    """Finds peers with a newer configuration and selects the one to request it from.

    Parameters
    ----------
    source
        The configuration of this entry.
    now_s
        Clock of the event loop.
    """

    def __init__(self, source: ConfigurationSource, now_s: Callable[[], float]) -> None:
        self.source = source
        self.now_s = now_s
        self.announced_version = source.version()
        self.behind_since_s: float | None = None
        self.requested_s: dict[str, float] = {}

    def poll_version_change(self) -> bool:
        """Return whether the version has changed since the previous call."""
        version = self.source.version()
        changed = version != self.announced_version
        self.announced_version = version
        return changed

    def choose_link(self, links: list[PeerLink]) -> PeerLink | None:
        """Return the link to send a configuration request on now, if any."""
        newer = [link for link in links if _version(link) > self.source.version()]
        if not newer:
            self.behind_since_s = None
            self.requested_s.clear()
            return None
        now_s = self.now_s()
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        last_requested_s = max(
            self.requested_s.values(), default=self.behind_since_s - ANSWER_TIMEOUT_S
        )
        if now_s < max(self.behind_since_s + LOG_GRACE_S, last_requested_s + ANSWER_TIMEOUT_S):
            return None
        link = min(newer, key=self._preference)
        self.requested_s[link.member.entry_id] = now_s
        return link

    def _preference(self, link: PeerLink) -> tuple[float, int]:
        return self.requested_s.get(link.member.entry_id, float("-inf")), -_version(link)


def _version(link: PeerLink) -> int:
    return 0 if link.heartbeat is None else link.heartbeat.configuration
