"""Storage of the list of agents that may receive orders."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_workflow.leadership import ListedAgent
from briardeal_workflow.owner._timing import ACCEPT_INTERVAL_S, STORE_WAIT_S

if TYPE_CHECKING:
    from briardeal_workflow.leadership import Election
    from briardeal_workflow.owner._agents import AgentState
    from briardeal_workflow.owner._control_server import ControlServer
    from briardeal_workflow.owner._order_sender import OrderSender
    from briardeal_workflow.owner._takeover import PendingAgents
    from briardeal_workflow.planning import Planner


class AgentList:
    """Stores which agents may receive orders before any order is sent to them.

    The next owner waits for the listed agents only, counted from the takeover that followed their
    fencing token in the list.

    Parameters
    ----------
    election, control_server
        Election that stores the list, and connections to the agents.
    planner, order_sender, agent_states, pending_agents
        Planner, sender of its orders, state of agents by name, and agents that have not reported
        since the takeover.

    Attributes
    ----------
    accepted
        Agents that the store certainly lists with the token of this owner: those that it may send
        orders to, and whose leases it may extend.
    stored
        Stored list of agents, with the token of each; `None` if it is not known, as before the
        first append and after one without an answer.
    stored_s
        When the list was stored, on the loop's clock.
    stored_settled
        Whether the store says that this owner knows all tasks that earlier ones may have started.
    """

    def __init__(
        self,
        election: Election,
        control_server: ControlServer,
        planner: Planner,
        order_sender: OrderSender,
        agent_states: dict[str, AgentState],
        pending_agents: PendingAgents,
    ) -> None:
        self.election = election
        self.epoch = election.epoch
        self.control_server = control_server
        self.planner = planner
        self.order_sender = order_sender
        self.agent_states = agent_states
        self.pending_agents = pending_agents
        self.accepted: set[str] = set()
        self.stored: dict[str, int] | None = None
        self.stored_s = loop_time()
        self.stored_settled = False

    async def run(self) -> None:
        """Keep the list stored until cancelled."""
        while True:
            if self.planner.takeover_complete and not self.order_sender.lists_all_starts:
                await self.order_sender.record_running()
            agents = self._find_agents()
            settled = self.planner.takeover_complete and self.order_sender.lists_all_starts
            changed = agents != self.stored or settled != self.stored_settled
            if changed or self._is_wait_outdated():
                await self._store(agents, settled=settled)
            await asyncio.sleep(ACCEPT_INTERVAL_S)

    def _is_wait_outdated(self) -> bool:
        """Return whether the stored times are too short for which agents have been waited."""
        return bool(self.pending_agents.epochs) and loop_time() - self.stored_s > STORE_WAIT_S

    def _find_agents(self) -> dict[str, int]:
        """Return the agents that may run tasks or can be given some.

        Each has the highest fencing token under which its lease may be extended.
        """
        connected = {
            agent_id for agent_id, agent in self.agent_states.items() if agent.worker_reachable
        }
        own = set(self.planner.state.vms) | (connected & self.control_server.agents.keys())
        return dict(sorted((self.pending_agents.epochs | dict.fromkeys(own, self.epoch)).items()))

    async def _store(self, agents: dict[str, int], *, settled: bool) -> None:
        """Replace the stored list.

        Until an append is confirmed, the store may hold any list sent since the last confirmed one,
        so that only agents with the token of this owner in all of them are accepted.
        """
        own = {agent_id for agent_id, epoch in agents.items() if epoch == self.epoch}
        added = own - self.accepted
        self.accepted &= own
        self.stored = None
        pending = self.pending_agents.list_agents()
        listed = {
            agent_id: ListedAgent(self.epoch) if agent_id in own else pending[agent_id]
            for agent_id in agents
        }
        if not await self.election.store_agents(listed, settled=settled):
            return
        self.stored, self.stored_s = agents, loop_time()
        self.stored_settled = settled
        self.accepted = own
        for agent_id in added:
            self.control_server.announce(agent_id)
