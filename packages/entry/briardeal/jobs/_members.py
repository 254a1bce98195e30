"""What the agents in reach say of the tasks on their workers."""

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

ENDED = {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
RUNS = {TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING}
PROGRESS = list(TaskState)
"""States in the order in which a task goes through them on one connection."""


@attrs.define(eq=False)
class WorkerAgent:
    """An agent in reach, with all tasks on its worker.

    Parameters
    ----------
    entry
        The connection.
    tasks
        The newest task of each job.
    listed
        Whether the agent has told all tasks on this connection.
    """

    entry: AgentEntry
    tasks: dict[str, TaskStatus] = attrs.field(factory=dict)
    listed: bool = False

    @property
    def shape(self) -> WorkerShape:
        """What the worker has and where it stands."""
        return self.entry.hello.worker.shape

    def take(self, statuses: Iterable[TaskStatus]) -> set[str]:
        """Take states of tasks and return the jobs that changed.

        An answer that is handled late takes no task back.
        """
        changed = set()
        for status in statuses:
            known = self.tasks.get(status.job_id)
            if known is None or _progress(known) <= _progress(status):
                self.tasks[status.job_id] = status
                if known != status:
                    changed.add(status.job_id)
        return changed


class Members:
    """The agents of the region that have a worker.

    Attributes
    ----------
    agents
        Agents in reach, by the name of the worker.
    lost_s
        When a worker went out of reach, on the loop's clock.
    listeners
        Called after every change with the jobs that it concerns; `None` for all.
    """

    def __init__(self) -> None:
        self.agents: dict[str, WorkerAgent] = {}
        self.lost_s: dict[str, float] = {}
        self.listeners: list[Callable[[set[str] | None], None]] = []

    def join(self, entry: AgentEntry) -> WorkerAgent:
        """Take in an agent that connected."""
        agent = WorkerAgent(entry)
        agent.take(entry.hello.tasks)
        self.agents[entry.agent_id] = agent
        self.lost_s.pop(entry.agent_id, None)
        self._tell(None)
        return agent

    def lose(self, entry: AgentEntry) -> None:
        """Take note that a connection was lost, unless a newer one has taken its place."""
        agent = self.agents.get(entry.agent_id)
        if agent is not None and agent.entry is entry:
            del self.agents[entry.agent_id]
            self.lost_s[entry.agent_id] = loop_time()
            self._tell(None)

    def take(self, entry: AgentEntry, statuses: Sequence[TaskStatus], whole: bool = False) -> None:
        """Take states of tasks; `whole` where these are all tasks of the worker."""
        agent = self.agents.get(entry.agent_id)
        if agent is None or agent.entry is not entry:
            return
        newly_listed = whole and not agent.listed
        agent.listed = agent.listed or whole
        changed = agent.take(statuses)
        if newly_listed or changed:
            self._tell(None if newly_listed else changed)

    def count_listed(self) -> int:
        """Return the number of workers whose tasks are all known."""
        return sum(agent.listed for agent in self.agents.values())

    def find(self, worker_id: str, job_id: str, attempt: int) -> TaskStatus | None:
        """Return the state of one member; `None` where it is not known to exist."""
        agent = self.agents.get(worker_id)
        status = None if agent is None else agent.tasks.get(job_id)
        return status if status is not None and status.attempt == attempt else None

    def is_whole(self, status: TaskStatus) -> bool:
        """Return whether every member of a task's gang is in reach and runs or has finished."""
        members = [self.find(w, status.job_id, status.attempt) for w in status.workers]
        return all(m is not None and _counts(m.state) for m in members)

    def holds_nothing(self, worker_id: str, job_id: str, attempt: int) -> bool:
        """Return whether it is certain that a worker runs nothing of an attempt."""
        agent = self.agents.get(worker_id)
        if agent is None or not agent.listed:
            return False
        status = agent.tasks.get(job_id)
        return status is None or status.attempt != attempt or status.state in ENDED

    def newest_attempts(self) -> dict[str, TaskStatus]:
        """Return the newest attempt of each job that ran on any worker in reach."""
        newest: dict[str, TaskStatus] = {}
        for agent in self.agents.values():
            for status in agent.tasks.values():
                known = newest.get(status.job_id)
                if status.ran and (known is None or known.attempt < status.attempt):
                    newest[status.job_id] = status
        return newest

    def _tell(self, jobs: set[str] | None) -> None:
        for listener in self.listeners:
            listener(jobs)


def _progress(status: TaskStatus) -> tuple[int, int]:
    return status.attempt, PROGRESS.index(status.state)


def _counts(state: TaskState) -> bool:
    return state in RUNS or state is TaskState.FINISHED
