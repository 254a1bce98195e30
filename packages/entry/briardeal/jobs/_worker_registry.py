"""The connected worker agents and the tasks that they report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time
from briardeal_protocol.messages import TaskState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from briardeal.membership import AgentEntry
    from briardeal_core.jobs import WorkerShape
    from briardeal_protocol.messages import TaskStatus

ENDED_STATES = {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
LIVE_STATES = {TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING}
STATE_ORDER = list(TaskState)
"""Task states in the order in which a task passes through them on one connection."""


@attrs.define(eq=False)
class WorkerAgent:
    """A connected agent and the tasks on its worker.

    Parameters
    ----------
    entry
        The connected agent in the table of agents.
    tasks
        Newest reported task of each job.
    inventory_complete
        Whether the agent has reported all its tasks on this connection.
    """

    entry: AgentEntry
    tasks: dict[str, TaskStatus] = attrs.field(factory=dict)
    inventory_complete: bool = False

    @property
    def shape(self) -> WorkerShape:
        """Resources and location of the worker."""
        return self.entry.hello.worker.shape

    def update_tasks(self, statuses: Iterable[TaskStatus]) -> set[str]:
        """Store reported task states and return the jobs whose task changed.

        An answer that is handled late must not move a task back to an earlier state, so states
        that precede the stored one are ignored.
        """
        changed = set()
        for status in statuses:
            known = self.tasks.get(status.job_id)
            if known is None or _progress_key(known) <= _progress_key(status):
                self.tasks[status.job_id] = status
                if known != status:
                    changed.add(status.job_id)
        return changed


class WorkerRegistry:
    """The connected agents of the region that have a worker.

    Attributes
    ----------
    agents
        Connected agents, by worker identifier.
    lost_at_s
        When each lost worker became unreachable, on the clock of the event loop.
    listeners
        Called after every change with the identifiers of the affected jobs, or with `None` if all
        jobs may be affected.
    """

    def __init__(self) -> None:
        self.agents: dict[str, WorkerAgent] = {}
        self.lost_at_s: dict[str, float] = {}
        self.listeners: list[Callable[[set[str] | None], None]] = []

    def add_agent(self, entry: AgentEntry) -> WorkerAgent:
        """Add an agent that has connected."""
        agent = WorkerAgent(entry)
        agent.update_tasks(entry.hello.tasks)
        self.agents[entry.agent_id] = agent
        self.lost_at_s.pop(entry.agent_id, None)
        self._notify(None)
        return agent

    def remove_agent(self, entry: AgentEntry) -> None:
        """Remove an agent whose connection was lost, unless it has already reconnected."""
        agent = self.agents.get(entry.agent_id)
        if agent is not None and agent.entry is entry:
            del self.agents[entry.agent_id]
            self.lost_at_s[entry.agent_id] = loop_time()
            self._notify(None)

    def update_tasks(
        self, entry: AgentEntry, statuses: Sequence[TaskStatus], is_inventory: bool = False
    ) -> None:
        """Store reported task states; `is_inventory` if they cover all tasks of the worker."""
        agent = self.agents.get(entry.agent_id)
        if agent is None or agent.entry is not entry:
            return
        newly_complete = is_inventory and not agent.inventory_complete
        agent.inventory_complete = agent.inventory_complete or is_inventory
        changed = agent.update_tasks(statuses)
        if newly_complete or changed:
            self._notify(None if newly_complete else changed)

    def count_complete_inventories(self) -> int:
        """Return the number of agents that have reported all their tasks."""
        return sum(agent.inventory_complete for agent in self.agents.values())

    def find_task(self, worker_id: str, job_id: str, attempt: int) -> TaskStatus | None:
        """Return the status of a task of one attempt; `None` if its agent has not reported it."""
        agent = self.agents.get(worker_id)
        status = None if agent is None else agent.tasks.get(job_id)
        return status if status is not None and status.attempt == attempt else None

    def is_gang_live(self, status: TaskStatus) -> bool:
        """Return whether every member of a task's gang is reachable and either live or finished."""
        members = [self.find_task(w, status.job_id, status.attempt) for w in status.workers]
        return all(m is not None and _is_live_or_finished(m.state) for m in members)

    def is_free_of_attempt(self, worker_id: str, job_id: str, attempt: int) -> bool:
        """Return whether it is certain that a worker runs no task of an attempt."""
        agent = self.agents.get(worker_id)
        if agent is None or not agent.inventory_complete:
            return False
        status = agent.tasks.get(job_id)
        return status is None or status.attempt != attempt or status.state in ENDED_STATES

    def newest_attempts(self) -> dict[str, TaskStatus]:
        """Return a task of the newest attempt of each job that ran on a reachable worker."""
        newest: dict[str, TaskStatus] = {}
        for agent in self.agents.values():
            for status in agent.tasks.values():
                known = newest.get(status.job_id)
                if status.ran and (known is None or known.attempt < status.attempt):
                    newest[status.job_id] = status
        return newest

    def _notify(self, jobs: set[str] | None) -> None:
        for listener in self.listeners:
            listener(jobs)


def _progress_key(status: TaskStatus) -> tuple[int, int]:
    return status.attempt, STATE_ORDER.index(status.state)


def _is_live_or_finished(state: TaskState) -> bool:
    return state in LIVE_STATES or state is TaskState.FINISHED
