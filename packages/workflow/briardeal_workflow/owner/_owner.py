"""The owner of jobs: processes reports, runs the planner, sends orders and stores progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import boottime_s, loop_time
from briardeal_core.events import Event, log_event
from briardeal_workflow.control import (
    Acknowledge,
    OwnerAnnouncement,
    StartOutcome,
)
from briardeal_workflow.evacuation import EvacuatedDomains
from briardeal_workflow.model import OverloadPolicy, reject_outdated
from briardeal_workflow.owner._agent_list import AgentList
from briardeal_workflow.owner._agents import AgentState
from briardeal_workflow.owner._order_sender import OrderSender
from briardeal_workflow.owner._progress_writer import ProgressWriter
from briardeal_workflow.owner._reports import (
    convert_crash,
    convert_rows,
    describe_vm,
    find_attempts_without_effect,
    log_clock_difference,
    log_ended_task,
    log_start_result,
    parse_outcome,
)
from briardeal_workflow.owner._start_records import (
    READ_LIMIT_S,
    STARTS_TOPIC,
    StartRecordReader,
)
from briardeal_workflow.owner._summaries import SummarySource
from briardeal_workflow.owner._takeover import PendingAgents
from briardeal_workflow.owner._timing import (
    AGENT_SILENCE_S,
    CONFIRM_PAUSE_S,
    MAX_ROUND_INTERVAL_S,
    OWNER_LEASE_S,
    READ_AGAIN_S,
    RENEW_INTERVAL_S,
    REPORT_WAIT_S,
    ROUND_DELAY_S,
)
from briardeal_workflow.planning import AttemptOutcome, FairOrder, Planner
from briardeal_workflow.store import Fenced, FencedWriter, OutOfReach
from briardeal_workflow.worker import LEASE_EXPIRY_S, UNHEALTHY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_core.clock import Clock
    from briardeal_workflow.control import StartResult, VmReport
    from briardeal_workflow.job_table import JobTable
    from briardeal_workflow.leadership import Election
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import Configuration, PlannerTiming, TaskId
    from briardeal_workflow.owner._control_server import ControlServer
    from briardeal_workflow.owner._planning_progress import PlanningProgress
    from briardeal_workflow.store import Follower, Store

JOBS_TOPIC = "jobs"
ROLE = "owner"


class Owner:
    """Schedules all jobs under one fencing token.

    Parameters
    ----------
    election, control_server
        Election that made this entry the owner, and connections to the agents.
    store, job_table, follower
        Store of jobs, the jobs read from it, and the reader that applies its records.
    clock
        Wall time, for jobs that are due at a time.
    metrics
        Records the duration of takeovers and the delay of first starts.
    progress
        Records planning rounds and what the owner waits for.
    timing
        Times that the platform promises.
    evacuations
        Evacuated failure domains as the entry knows them; none by default.
    overload
        Operator's choices for times of too little capacity.

    Attributes
    ----------
    summaries
        Summaries of the work for the entries.
    agent_states
        State of agents by name.
    pending_agents
        Agents that an earlier owner may have sent orders to and that have not reported yet.
    agent_list
        Stores which agents may receive orders.
    started_s
        When this owner was created, on the clock of `boottime_s`.
    loaded
        Whether the stored jobs have been passed to the planner.
    """

    def __init__(
        self,
        election: Election,
        control_server: ControlServer,
        store: Store,
        job_table: JobTable,
        follower: Follower,
        clock: Clock,
        metrics: WorkflowMetrics,
        progress: PlanningProgress,
        timing: PlannerTiming | None = None,
        evacuations: EvacuatedDomains | None = None,
        overload: OverloadPolicy | None = None,
    ) -> None:
        self.evacuations = evacuations or EvacuatedDomains()
        overload = overload or OverloadPolicy()
        self.store = store
        self.metrics = metrics
        self.progress = progress
        self.election = election
        self.control_server = control_server
        self.job_table = job_table
        self.follower = follower
        self.clock = clock
        self.epoch = election.epoch
        job_order = FairOrder(self._guaranteed_accelerators) if overload.fair_order else None
        self.planner = Planner(self.epoch, job_table.find_job, job_order, timing)
        self.planner.state.overload = overload
        self.summaries = SummarySource(self.planner, enabled=overload.estimates_admission)
        self.writer = FencedWriter(store, JOBS_TOPIC, ROLE, self.epoch)
        self.agent_states: dict[str, AgentState] = {}
        self.pending_agents = PendingAgents(election)
        self.started_s = boottime_s()
        self.loaded = False
        self.wake = asyncio.Event()
        self.start_writer = FencedWriter(store, STARTS_TOPIC, ROLE, self.epoch)
        self.start_reader = StartRecordReader(store)
        self.order_sender = OrderSender(
            self.epoch,
            self.start_writer,
            self.planner,
            self.agent_states,
            control_server,
            self.pending_agents.epochs.keys(),
            self._may_order,
            self.wake,
            clock,
            metrics,
            lambda: self.evacuations.permit_starts,
        )
        self.agent_list = AgentList(
            election,
            control_server,
            self.planner,
            self.order_sender,
            self.agent_states,
            self.pending_agents,
        )
        self.progress_writer = ProgressWriter(
            self.writer,
            self.planner.state,
            job_table,
            self.agent_states,
            metrics,
            self.order_sender.decided,
        )
        self.evacuate()

    @property
    def lease_left_s(self) -> float:
        """Time for which leases of agents may still be extended, in seconds.

        Only the topic of jobs counts, which owners of earlier versions fence, too.
        """
        return self.writer.confirmed_s + OWNER_LEASE_S - boottime_s()

    @property
    def _fenced(self) -> bool:
        return self.writer.fenced or self.start_writer.fenced

    async def run(self) -> None:
        """Schedule jobs until another entry has taken over."""
        self.progress.waits_for = "the fence of earlier owners"
        # A start is recorded after its job, so the jobs of all records that are read are known.
        outcome = await self.start_writer.append([])
        if not isinstance(outcome, Fenced):
            outcome = await self.writer.append([])
        if isinstance(outcome, Fenced):
            return
        self.pending_agents.fenced_s = boottime_s()
        self.progress.waits_for = "the records of starts"
        starts = await self._read_starts(READ_LIMIT_S)
        self.progress.waits_for = "jobs up to the fence"
        await self.follower.wait_until_read(outcome.end)
        self._load(None if isinstance(starts, OutOfReach) else starts)
        self.metrics.takeover_s.observe({}, self._age_s())
        self.control_server.announce_owner(self)
        try:
            async with asyncio.TaskGroup() as tasks:
                coroutines = (
                    self._renew(),
                    self.order_sender.run(),
                    self.progress_writer.run(),
                    self.progress_writer.write_checkpoints(),
                    self.progress_writer.delete_expired(),
                    self.agent_list.run(),
                    self._read_missing_starts(starts),
                )
                running = [tasks.create_task(coroutine) for coroutine in coroutines]
                await self._plan_until_fenced()
                for task in running:
                    task.cancel()
        finally:
            self.control_server.clear_owner()
            self.metrics.slow_vms.set({}, 0)
            log_event(Event.OWNER_REPLACED, epoch=self.epoch, newer=self.election.epoch)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration, before or after the jobs are loaded, unless a newer one is."""
        if not reject_outdated(configuration, self.planner.state.configuration):
            self.planner.configure(configuration)
            self.wake.set()

    def evacuate(self) -> None:
        """Apply the evacuated failure domains, before or after the jobs are loaded."""
        self.planner.set_evacuated(self.evacuations.domains, loop_time())
        self.wake.set()

    def handle_job_change(self, job_id: str) -> None:
        """Pass a job to the planner after its record has changed."""
        job_status = self.job_table.get(job_id)
        # Before all jobs are loaded, it is not known which tasks an earlier owner has started.
        if job_status is None or not self.loaded:
            return
        if job_status.cancelled:
            self.planner.cancel_job(job_id)
        elif not job_status.finished:
            if job_id not in self.planner.state.active_jobs:
                log_clock_difference(job_status.job, self.clock.now_s())
            self.planner.add_job(job_status.job, job_status.progress, loop_time())
        self.wake.set()

    def handle_report(self, agent_id: str, report: VmReport) -> None:
        """Process the report of a VM."""
        agent = self.agent_states.setdefault(agent_id, AgentState())
        now_s = loop_time()
        agent.last_received_s = now_s
        agent.worker_reachable = report.vm is not None
        for crash in report.crashes:
            self.planner.record_crash(convert_crash(agent_id, crash, now_s))
        if report.vm is None:
            self.planner.mark_unreachable(agent_id, now_s)
            if report.idle:
                self.planner.remove_vm(agent_id, now_s)
                self._mark_reported(agent_id, agent)
                self.wake.set()
            return
        if agent_id not in self.agent_list.accepted:
            return
        if agent.incarnation != report.vm.incarnation:
            self._follow_incarnation(agent_id, agent, report.vm.incarnation, now_s)
        if 0 <= report.generation < agent.generation:
            # Calls for an earlier incarnation may still be carried out after these lists.
            return
        description = describe_vm(agent_id, report.vm)
        known = self.planner.state.vms.get(agent_id)
        needs_planning = known is None or known.description != description or bool(report.ended)
        self.planner.update_vm(description, self._agent_lease_end_s(), now_s)
        if not agent.reported and report.pace:
            self.planner.pace_observer.inherit(agent_id, report.pace, now_s)
        self._apply_report(agent_id, agent, report, now_s)
        self._mark_reported(agent_id, agent)
        self._resend_orders(agent_id, agent, report, now_s)
        # Changed percentages matter little, and a large site would plan without a pause for them.
        if needs_planning:
            self.wake.set()

    def make_announcement(self, agent_id: str) -> OwnerAnnouncement:
        """Return the announcement of this owner to an agent."""
        agent = self.agent_states.get(agent_id)
        return OwnerAnnouncement(self.epoch, 0 if agent is None else agent.generation)

    def handle_start_result(self, agent_id: str, result: StartResult) -> None:
        """Process the outcome of a start order."""
        now_s = loop_time()
        log_start_result(agent_id, result)
        if result.outcome is StartOutcome.STARTED:
            self.planner.record_started(agent_id, result.task, result.number, now_s)
        else:
            if result.reason == UNHEALTHY:
                self.planner.record_unhealthy(agent_id, now_s)
            self.planner.record_outcome(
                agent_id, result.task, result.number, AttemptOutcome.REFUSED, "", now_s
            )
        self.wake.set()
        self.progress_writer.wake.set()

    def extend_agent_lease(self, agent_id: str) -> Acknowledge | None:
        """Return an acknowledgement that extends the lease of an agent.

        Returns `None` if the owner may not extend it.
        """
        agent = self.agent_states.get(agent_id)
        if agent is None or self.lease_left_s <= 0 or self._fenced:
            return None
        if agent_id not in self.agent_list.accepted or agent_id in self.pending_agents.epochs:
            # The end of the wait for the tasks of earlier owners counts on the leases of those.
            return None
        agent.last_received_s = loop_time()
        self.planner.extend_lease(agent_id, self._agent_lease_end_s())
        pace = self.planner.pace_observer.percent_to_hand_on(agent_id, agent.last_received_s)
        return Acknowledge(0, self.epoch, agent.incarnation, agent.ends_stored, pace=pace)

    def handle_superseded(self, epoch: int) -> None:
        """Stop ownership because an agent follows an owner with a higher fencing token."""
        if not self._fenced:
            log_event(Event.RIGHT_CHANGED, epoch=self.epoch, newer=epoch, right="superseded")
        self.writer.fenced = True
        self.wake.set()

    def handle_disconnect(self, agent_id: str) -> None:
        """Mark an agent as unreachable after its connection has closed."""
        self.planner.mark_unreachable(agent_id, loop_time())

    def store_failing_s(self) -> float:
        """Return for how long appends to the store have failed, in seconds."""
        since = (
            self.writer.failing_since_s,
            self.start_writer.failing_since_s,
            self.election.append_failing_since_s,
        )
        since_s = min((each for each in since if each is not None), default=None)
        return 0.0 if since_s is None else boottime_s() - since_s

    async def _read_starts(
        self, limit_s: float | None
    ) -> dict[str, tuple[tuple[TaskId, int], ...]] | OutOfReach | None:
        """Return the attempts that earlier owners may have started, by VM; `None` if unknown.

        Returns `OutOfReach` if they could not be read within `limit_s` seconds.
        """
        owner = self.election.owner
        if owner is None or not owner.starts_recorded:
            return None
        return await self.start_reader.read(self.pending_agents.epochs, limit_s)

    async def _read_missing_starts(
        self, starts: dict[str, tuple[tuple[TaskId, int], ...]] | OutOfReach | None
    ) -> None:
        """Read records of starts that could not be read in time, as long as tasks wait.

        No earlier owner can change them any more, and this one changes only those of VMs that have
        reported.
        """
        while isinstance(starts, OutOfReach) and not self.planner.takeover_complete:
            await asyncio.sleep(READ_AGAIN_S)
            starts = await self._read_starts(limit_s=None)
            if isinstance(starts, dict) and not self.planner.takeover_complete:
                held = self._hold_tasks(starts)
                log_event(Event.LOG_RECOVERED, topic=STARTS_TOPIC, held_tasks=held)
                self.wake.set()

    def _hold_tasks(self, starts: dict[str, tuple[tuple[TaskId, int], ...]]) -> int:
        """Hold back the tasks that may run on VMs that have not reported; return their number."""
        sender = self.order_sender
        sender.lists_all_starts = True
        # The owner may have replaced records since; its own are the newer ones.
        sender.recorded = {key: frozenset(value) for key, value in starts.items()} | sender.recorded
        return self.planner.takeover.hold_tasks(starts, self.pending_agents.epochs)

    def _load(self, starts: dict[str, tuple[tuple[TaskId, int], ...]] | None) -> None:
        now_s = loop_time()
        self.planner.state.wall_offset_s = self.clock.now_s() - now_s
        for job_status in self.job_table.jobs.values():
            if job_status.job is not None and not job_status.finished:
                log_clock_difference(job_status.job, self.clock.now_s())
                self.planner.add_job(
                    job_status.job, job_status.progress, now_s, takeover_pending=True
                )
        self.loaded = True
        held = None if starts is None else self._hold_tasks(starts)
        log_event(
            Event.OWNER_STARTED,
            epoch=self.epoch,
            jobs=len(self.planner.state.active_jobs),
            held_tasks=held,
        )
        if self.epoch == 1 or not self.pending_agents.epochs:
            self.planner.complete_takeover()

    def _follow_incarnation(
        self, agent_id: str, agent: AgentState, incarnation: str, now_s: float
    ) -> None:
        """Follow a new incarnation of a worker; from the second on, under a higher token."""
        if agent.incarnation:
            agent.generation += 1
            log_event(
                Event.INCARNATION_FENCED,
                vm=agent_id,
                incarnation=incarnation,
                epoch=self.epoch,
                generation=agent.generation,
            )
            self.planner.remove_vm(agent_id, now_s)
            self.wake.set()
            self.control_server.announce(agent_id)
        agent.incarnation = incarnation
        agent.ends_received = agent.ends_stored = 0

    def _apply_report(
        self, agent_id: str, agent: AgentState, report: VmReport, now_s: float
    ) -> None:
        for ended in report.ended:
            if ended.position <= agent.ends_received:
                continue
            agent.ends_received = ended.position
            log_ended_task(agent_id, ended)
            outcome = parse_outcome(ended.end)
            self.planner.record_outcome(
                agent_id, ended.task, ended.number, outcome, ended.checkpoint, now_s
            )
            self.progress_writer.wake.set()
        self.planner.record_task_list(agent_id, convert_rows(report), now_s, report.age_ms / 1000)

    def _may_order(self) -> bool:
        confirmed_s = max(self.writer.confirmed_s, self.start_writer.confirmed_s)
        return boottime_s() < confirmed_s + OWNER_LEASE_S and not self._fenced

    def _mark_reported(self, agent_id: str, agent: AgentState) -> None:
        agent.reported = True
        if agent_id in self.pending_agents.epochs:
            self.pending_agents.remove(agent_id)
            self._release([agent_id])

    def _release(self, agent_ids: Iterable[str]) -> None:
        """Release the tasks that were held back for agents."""
        for agent_id in agent_ids:
            self.planner.takeover.release_vm(agent_id)
        if not self.pending_agents.epochs and not self.planner.takeover_complete:
            log_event(
                Event.STARTS_SETTLED,
                epoch=self.epoch,
                waited_s=round(self._age_s(), 3),
                missing=sorted(self.pending_agents.missing),
            )
            self.planner.complete_takeover()

    def _guaranteed_accelerators(self, customer: str) -> int:
        return self.planner.state.configuration.guaranteed_accelerators_of(customer)

    def _age_s(self) -> float:
        return boottime_s() - self.started_s

    def _agent_lease_end_s(self) -> float:
        return loop_time() + LEASE_EXPIRY_S

    def _resend_orders(
        self, agent_id: str, agent: AgentState, report: VmReport, now_s: float
    ) -> None:
        """Queue orders again that show no effect in a report; they may have been lost."""
        vm = self.planner.state.vms[agent_id]
        agent.forget_orders(vm.attempts.keys())
        attempts = find_attempts_without_effect(vm, report)
        self.order_sender.resend_without_effect(agent, attempts, now_s)

    async def _plan_until_fenced(self) -> None:
        next_round_s = loop_time()
        while self._remains_owner():
            try:
                async with asyncio.timeout_at(next_round_s):
                    await self.wake.wait()
                await asyncio.sleep(ROUND_DELAY_S)
            except TimeoutError:
                pass
            self.wake.clear()
            self._handle_timeouts()
            now_s = loop_time()
            next_round_s = now_s + MAX_ROUND_INTERVAL_S
            if self.lease_left_s <= 0:
                self.progress.waits_for = "a confirmation of the ownership"
                continue
            self._hold_starts()
            confirmed_s = self.writer.confirmed_loop_s
            for order in self.planner.decide(now_s, self.clock.now_s(), confirmed_s):
                self.order_sender.send(order)
            self.progress.record_round(self.epoch)
            self.summaries.update(now_s, self.clock.now_s())
            self.metrics.slow_vms.set({}, len(self.planner.state.paces.slow_vms))
            # The loop's timers may fire slightly early, so a round may come just before its time.
            next_preemption_s = max(now_s + ROUND_DELAY_S, self.planner.next_preemption_s)
            next_round_s = min(next_round_s, next_preemption_s)
            if self.planner.state.unsaved_jobs:
                self.progress_writer.wake.set()

    def _hold_starts(self) -> None:
        """Start nothing while the operators' requests are not known well enough."""
        state, cause = self.planner.state, self.evacuations.unread_cause
        if state.starts_held is not bool(cause):
            state.starts_held = bool(cause)
            event = Event.STARTS_HELD if cause else Event.STARTS_RESUMED
            log_event(event, epoch=self.epoch, cause=cause)
        if not cause and self.order_sender.unsent:
            self.order_sender.decided.set()

    def _remains_owner(self) -> bool:
        """Return whether this entry remains the owner.

        An entry that is shutting down hands over as soon as another entry can take over.
        """
        election = self.election
        is_newest_owner = election.is_owner and election.epoch == self.epoch
        can_hand_over = election.leaving and self.control_server.can_hand_over
        return is_newest_owner and not can_hand_over and not self._fenced

    def _handle_timeouts(self) -> None:
        now_s = loop_time()
        for agent_id, agent in self.agent_states.items():
            if now_s - agent.last_received_s > AGENT_SILENCE_S:
                self.planner.mark_unreachable(agent_id, now_s)
        if (
            self.order_sender.lists_all_starts
            and boottime_s() - self.pending_agents.fenced_s > REPORT_WAIT_S
        ):
            self.planner.takeover.release_others()
        self._release(self.pending_agents.remove_expired(self.writer.confirmed_s))

    async def _renew(self) -> None:
        """Confirm the ownership at intervals."""
        while not self.writer.fenced:
            due_s = self.writer.confirmed_s + RENEW_INTERVAL_S
            await asyncio.sleep(max(0.0, due_s - boottime_s()))
            if self._is_confirmation_needed():
                await self._confirm()
                self.wake.set()

    def _is_confirmation_needed(self) -> bool:
        return boottime_s() - self.writer.confirmed_s >= RENEW_INTERVAL_S

    async def _confirm(self) -> None:
        """Confirm the ownership; calls that are not answered soon overlap with further ones."""
        async with asyncio.TaskGroup() as tasks:
            calls: set[asyncio.Task[bool]] = set()
            while self._is_confirmation_needed() and not self.writer.fenced:
                calls.add(tasks.create_task(self.writer.confirm()))
                answered, calls = await asyncio.wait(
                    calls, timeout=CONFIRM_PAUSE_S, return_when=asyncio.FIRST_COMPLETED
                )
                if answered and not any(call.result() for call in answered):
                    await asyncio.sleep(CONFIRM_PAUSE_S)
            for call in calls:
                call.cancel()
