"""Wait of a new owner for the agents that earlier owners may have given orders to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.clock import boottime_s
from briardeal_workflow.leadership import ListedAgent
from briardeal_workflow.owner._timing import OWNER_LEASE_S
from briardeal_workflow.worker import LEASE_EXPIRY_S

if TYPE_CHECKING:
    from briardeal_workflow.leadership import Election


class PendingAgents:
    """Agents that have not reported since the takeover, and for how long their tasks may run.

    The lease of an agent was extended last by the owner whose token the stored list names for it.
    That owner has extended no lease later than `OWNER_LEASE_S` after one with a higher token had
    fenced the log.

    Parameters
    ----------
    election
        Election that read the stored list.

    Attributes
    ----------
    epochs
        Highest fencing token under which the lease may have been extended, by agent.
    missing
        Agents that have not reported before the end of their wait.
    fenced_s
        When this owner had fenced the log, on the clock of `boottime_s`.
    """

    def __init__(self, election: Election) -> None:
        self.election = election
        self.epochs: dict[str, int] = {}
        self.missing: list[str] = []
        self.fenced_s = boottime_s()
        if election.owner is not None:
            listed = election.owner.find_agents()
            self.epochs.update({name: agent.epoch for name, agent in listed.items()})
        self._since_s = {
            name: election.waiting_since_s[name, epoch]
            for name, epoch in self.epochs.items()
            if (name, epoch) in election.waiting_since_s
        }

    def list_agents(self) -> dict[str, ListedAgent]:
        """Return the agents as they are stored, with the time for which they have been waited."""
        now_s = boottime_s()
        return {
            name: ListedAgent(epoch, round(now_s - self._waiting_since_s(name), 3))
            for name, epoch in self.epochs.items()
        }

    def remove(self, agent_id: str) -> None:
        """Remove an agent that has reported."""
        self.epochs.pop(agent_id, None)

    def remove_expired(self, confirmed_s: float) -> list[str]:
        """Remove the agents on which nothing runs any more, and return them.

        Parameters
        ----------
        confirmed_s
            When this process was certainly the only owner, on the clock of `boottime_s`. A frozen
            process finds the time passed, although a newer owner may have taken over since.
        """
        expired = [name for name in self.epochs if self._expiry_s(name) < confirmed_s]
        for name in expired:
            del self.epochs[name]
        self.missing += expired
        return expired

    def _waiting_since_s(self, name: str) -> float:
        return min(self.fenced_s, self._since_s.get(name, self.fenced_s))

    def _expiry_s(self, name: str) -> float:
        """Return when the lease of an agent has expired at the latest."""
        expiry_s = self._waiting_since_s(name) + OWNER_LEASE_S + LEASE_EXPIRY_S
        if self.election.previous_owner_stopped:
            expiry_s = min(expiry_s, self.fenced_s + LEASE_EXPIRY_S)
        return expiry_s
