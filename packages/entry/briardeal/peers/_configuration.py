"""Configuration taken from peers where the log does not bring it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.peers._interfaces import ConfigurationSource
    from briardeal.peers._link import PeerLink

GRACE_S = 0.5
"""How long the log may take before peers are asked."""

ANSWER_TIMEOUT_S = 1.0


class ConfigurationExchange:
    """Finds peers with a newer configuration and chooses the one to ask.

    Parameters
    ----------
    source
        The configuration of this entry.
    now_s
        Clock of the loop.
    """

    def __init__(self, source: ConfigurationSource, now_s: Callable[[], float]) -> None:
        self.source = source
        self.now_s = now_s
        self.told_version = source.version()
        self.behind_since_s: float | None = None
        self.asked: dict[str, float] = {}

    def changed(self) -> bool:
        """Return whether the version has changed since this was last asked."""
        version = self.source.version()
        changed = version != self.told_version
        self.told_version = version
        return changed

    def choose(self, links: list[PeerLink]) -> PeerLink | None:
        """Return the link to ask for a newer configuration now, if any."""
        newer = [link for link in links if _version(link) > self.source.version()]
        if not newer:
            self.behind_since_s = None
            self.asked.clear()
            return None
        now_s = self.now_s()
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        last_asked_s = max(self.asked.values(), default=self.behind_since_s - ANSWER_TIMEOUT_S)
        if now_s < max(self.behind_since_s + GRACE_S, last_asked_s + ANSWER_TIMEOUT_S):
            return None
        link = min(newer, key=self._preference)
        self.asked[link.member.entry_id] = now_s
        return link

    def _preference(self, link: PeerLink) -> tuple[float, int]:
        return self.asked.get(link.member.entry_id, float("-inf")), -_version(link)


def _version(link: PeerLink) -> int:
    return 0 if link.heartbeat is None else link.heartbeat.configuration
