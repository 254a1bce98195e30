"""The owner of jobs: takes reports, lets the planner decide, gives orders, keeps progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import awake_time, loop_time
from briardeal_core.events import Event, log_event
from briardeal_workflow.control import Acknowledge, Lead, SettledAs, StartOrder, StopOrder
from briardeal_workflow.owner._keeper import Keeper
from briardeal_workflow.owner._members import Member
from briardeal_workflow.planning import (
    AttemptOutcome,
    AttemptPhase,
    Planner,
    Resources,
    RunningTask,
    StartTask,
    StopTask,
    VmDescription,
)
from briardeal_workflow.store import Fenced, FencedWriter
from briardeal_workflow.worker import HOLD_LAPSE_S, UNHEALTHY

if TYPE_CHECKING:
    from briardeal_core.clock import Clock
    from briardeal_workflow.control import Report, Settled, VmState
    from briardeal_workflow.job_table import JobTable
    from briardeal_workflow.leadership import Election
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import Configuration
    from briardeal_workflow.owner._hub import Hub
    from briardeal_workflow.planning import Attempt, Order
    from briardeal_workflow.store import Follower, Store

JOBS_TOPIC = "jobs"
ROLE = "owner"

RIGHT_S = 6.0
"""Time for which the right to give orders lasts after the store last confirmed it."""

RENEW_INTERVAL_S = 0.5
"""Time between confirmations of the right, and so until a store that fails is noticed."""

AGENT_SILENCE_S = 1.5
"""Silence after which a VM gets no new work; agents send a beat each 0.4 s."""

IDLE_INTERVAL_S = 0.25
"""Longest time between two rounds of decisions; due times and lapses are found by it."""

GATHER_S = 0.01
"""Pause before a round, in which what happens at the same time is gathered."""

ADMIT_INTERVAL_S = 0.05
"""Time between two looks for agents that are new; those that come together are kept together."""

RESEND_S = 1.5
"""Time after which an order without an effect is given again."""


class Owner:
    """Decides on all jobs under one fencing token.

    Parameters
    ----------
    election, hub, store, book, follower
        What confirms the right, reaches the agents, and keeps the jobs.
    clock
        Wall time, for jobs that are due at a time.
    metrics
        What it counts.

    Attributes
    ----------
    members
        What is known of agents by name.
    awaited
        Agents that an earlier owner may have given orders to and that have not told what runs.
    admitted
        Agents that stand in the store as those that may get orders.
    lapse_s
        Time after which nothing runs any more that an earlier owner has ordered unheard.
    loaded
        Whether the jobs that were kept before have been taken over.
    """

    def __init__(
        self,
        election: Election,
        hub: Hub,
        store: Store,
        book: JobTable,
        follower: Follower,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self.metrics = metrics
        self.election = election
        self.hub = hub
        self.book = book
        self.follower = follower
        self.clock = clock
        self.epoch = election.epoch
        self.planner = Planner(self.epoch)
        self.writer = FencedWriter(store, JOBS_TOPIC, ROLE, self.epoch)
        self.members: dict[str, Member] = {}
        self.awaited: set[str] = set(election.owner.agents if election.owner else ())
        self.admitted: set[str] = set(self.awaited)
        self.began_s = awake_time()
        right_s = 0.0 if election.previous_ended else RIGHT_S
        self.lapse_s = right_s + HOLD_LAPSE_S
        self.loaded = False
        self.wake = asyncio.Event()
        self.keeper = Keeper(self.writer, self.planner.state, book, self.members, metrics)

    @property
    def right_left_s(self) -> float:
        """For how long orders may still be given, in seconds."""
        return self.writer.confirmed_s + RIGHT_S - awake_time()

    async def run(self, directory: Configuration) -> None:
        """Own the jobs until another entry has taken over."""
        outcome = await self.writer.append([])
        if isinstance(outcome, Fenced):
            return
        await self.follower.wait_for(outcome.end)
        self._load(directory)
        log_event(Event.OWNER_STARTED, epoch=self.epoch, jobs=len(self.planner.state.active_jobs))
        self.metrics.takeover_s.observe({}, self._age_s())
        await self.hub.lead(self)
        try:
            async with asyncio.TaskGroup() as tasks:
                parts = (
                    self._renew(),
                    self.keeper.run(),
                    self.keeper.keep_checkpoints(),
                    self.keeper.drop_expired(),
                    self._admit(),
                )
                running = [tasks.create_task(part) for part in parts]
                await self._decide_until_fenced()
                for task in running:
                    task.cancel()
        finally:
            self.hub.stop_leading()
            log_event(Event.OWNER_REPLACED, epoch=self.epoch, newer=self.election.epoch)

    def configure(self, directory: Configuration) -> None:
        """Take over a new configuration."""
        self.planner.configure(directory)
        self.wake.set()

    def note_job(self, job_id: str) -> None:
        """Note that the record of a job has changed."""
        entry = self.book.get(job_id)
        # Before all jobs are loaded, a record tells nothing of what an earlier owner has started.
        if entry is None or not self.loaded:
            return
        if entry.cancelled:
            self.planner.cancel_job(job_id)
        elif not entry.finished:
            self.planner.add_job(entry.job, entry.progress, loop_time())
        self.wake.set()

    def take_report(self, agent_id: str, report: Report) -> None:
        """Take what a VM runs."""
        member = self.members.setdefault(agent_id, Member())
        now_s = loop_time()
        member.heard_s = now_s
        member.present = report.vm is not None
        if report.vm is None:
            self.planner.mark_unreachable(agent_id)
            if report.idle:
                self.planner.remove_vm(agent_id, now_s)
                self._note_reported(agent_id, member)
            return
        if agent_id not in self.admitted:
            return
        if member.incarnation != report.vm.incarnation:
            member.incarnation = report.vm.incarnation
            member.ends_taken = member.ends_kept = 0
        shape = _shape_of(agent_id, report.vm)
        known = self.planner.state.vms.get(agent_id)
        news = known is None or known.description != shape or bool(report.ended)
        self.planner.update_vm(shape, self._hold_end_s(), now_s)
        self._take_lists(agent_id, member, report, now_s)
        self._note_reported(agent_id, member)
        self._repeat_orders(agent_id, member, report, now_s)
        # Percentages alone decide little, and a large site would never rest.
        if news:
            self.wake.set()

    def take_settled(self, agent_id: str, settled: Settled) -> None:
        """Take what became of an order."""
        now_s = loop_time()
        log_event(
            Event.START_SETTLED,
            task=str(settled.task),
            number=settled.number,
            vm=agent_id,
            outcome=settled.outcome,
            reason=settled.reason,
        )
        if settled.outcome is SettledAs.STARTED:
            self.planner.record_started(agent_id, settled.task, settled.number, now_s)
        else:
            if settled.reason == UNHEALTHY:
                self.planner.record_unhealthy(agent_id, now_s)
            self.planner.record_outcome(
                agent_id, settled.task, settled.number, AttemptOutcome.REFUSED, "", now_s
            )
        self.wake.set()
        self.keeper.wake.set()

    def note_heard(self, agent_id: str) -> Acknowledge | None:
        """Return what extends the hold of an agent."""
        member = self.members.get(agent_id)
        if member is None or self.right_left_s <= 0 or self.writer.fenced:
            return None
        member.heard_s = loop_time()
        self.planner.extend_lease(agent_id, self._hold_end_s())
        return Acknowledge(0, self.epoch, member.incarnation, member.ends_kept)

    def note_superseded(self, epoch: int) -> None:
        """Note that an agent follows an owner with a higher token."""
        if not self.writer.fenced:
            log_event(Event.RIGHT_CHANGED, epoch=self.epoch, newer=epoch, right="superseded")
        self.writer.fenced = True
        self.wake.set()

    def note_lost(self, agent_id: str) -> None:
        """Note that the connection of an agent has ended."""
        self.planner.mark_unreachable(agent_id)

    def store_failing_s(self) -> float:
        """Return for how long the store has not taken appends."""
        since_s = self.writer.failing_since_s
        return 0.0 if since_s is None else awake_time() - since_s

    def _load(self, directory: Configuration) -> None:
        self.planner.configure(directory)
        now_s = loop_time()
        for entry in self.book.jobs.values():
            if entry.job is not None and not entry.finished:
                self.planner.add_job(entry.job, entry.progress, now_s, takeover_pending=True)
        self.loaded = True
        if self.epoch == 1 or not self.awaited:
            self.planner.complete_takeover()

    def _take_lists(self, agent_id: str, member: Member, report: Report, now_s: float) -> None:
        for ended in report.ended:
            if ended.position <= member.ends_taken:
                continue
            member.ends_taken = ended.position
            log_event(
                Event.TASK_ENDED,
                task=str(ended.task),
                number=ended.number,
                vm=agent_id,
                end=ended.end,
            )
            end = _end_of(ended.end)
            self.planner.record_outcome(
                agent_id, ended.task, ended.number, end, ended.checkpoint, now_s
            )
            self.keeper.wake.set()
        rows = [
            RunningTask(row.task, row.number, row.checkpoint, row.percent, row.load)
            for row in report.running
        ]
        rows += [RunningTask(task, number) for task, number in report.unsettled]
        self.planner.record_task_list(agent_id, rows, now_s, report.age_ms / 1000)

    def _note_reported(self, agent_id: str, member: Member) -> None:
        member.reported = True
        self.awaited.discard(agent_id)
        if self.planner.takeover_complete:
            return
        if not self.awaited:
            log_event(Event.STARTS_SETTLED, epoch=self.epoch, waited_s=self._age_s())
            self.planner.complete_takeover()

    def _age_s(self) -> float:
        return awake_time() - self.began_s

    def _hold_end_s(self) -> float:
        return loop_time() + HOLD_LAPSE_S

    def _repeat_orders(self, agent_id: str, member: Member, report: Report, now_s: float) -> None:
        """Give orders again that show no effect in the lists; they may have been lost."""
        listed = {(row.task, row.number) for row in report.running}
        listed |= set(report.unsettled)
        vm = self.planner.state.vms[agent_id]
        for key, attempt in vm.attempts.items():
            waits = attempt.phase is AttemptPhase.STOPPING or (
                attempt.phase is AttemptPhase.ORDERED and key not in listed
            )
            if waits and now_s - member.sent_s.get(key, now_s) > RESEND_S:
                self.planner.state.orders.append(self._order_again(attempt))

    def _order_again(self, attempt: Attempt) -> Order:
        if attempt.phase is AttemptPhase.STOPPING:
            return StopTask(attempt.vm_id, attempt.task, attempt.number, "given again")
        command = self.planner.state.active_jobs[attempt.task.job_id].job.command
        return StartTask(
            attempt.vm_id, attempt.task, attempt.number, command, attempt.checkpoint, "given again"
        )

    async def _decide_until_fenced(self) -> None:
        while self._leads():
            try:
                async with asyncio.timeout(IDLE_INTERVAL_S):
                    await self.wake.wait()
                await asyncio.sleep(GATHER_S)
            except TimeoutError:
                pass
            self.wake.clear()
            self._note_silent()
            if self.right_left_s <= 0:
                continue
            for order in self.planner.decide(loop_time(), self.clock.now_s()):
                await self._give(order)
            if self.planner.state.unsaved_jobs:
                self.keeper.wake.set()

    def _leads(self) -> bool:
        """Return whether this entry goes on as the owner.

        One that is leaving hands over as soon as another entry watches it.
        """
        election = self.election
        newest = election.owns and election.epoch == self.epoch
        hands_over = election.leaving and self.hub.watchers > 0
        return newest and not hands_over and not self.writer.fenced

    def _note_silent(self) -> None:
        now_s = loop_time()
        for agent_id, member in self.members.items():
            if now_s - member.heard_s > AGENT_SILENCE_S:
                self.planner.mark_unreachable(agent_id)
        if not self.planner.takeover_complete and self._age_s() > self.lapse_s:
            log_event(
                Event.STARTS_SETTLED,
                epoch=self.epoch,
                waited_s=self.lapse_s,
                missing=sorted(self.awaited),
            )
            self.planner.complete_takeover()

    async def _give(self, order: Order) -> None:
        member = self.members[order.vm_id]
        member.sent_s[order.task, order.number] = loop_time()
        event = Event.TASK_ORDERED if isinstance(order, StartTask) else Event.TASK_STOPPED
        log_event(
            event,
            job_id=order.task.job_id,
            task=str(order.task),
            number=order.number,
            vm=order.vm_id,
            cause=order.cause,
            epoch=self.epoch,
            configuration=self.planner.state.configuration.version,
            **order.inputs,
        )
        if isinstance(order, StartTask):
            self._count_first_start(order)
            message = StartOrder(
                self.epoch, order.task, order.number, order.command, order.checkpoint
            )
        else:
            message = StopOrder(self.epoch, order.task, order.number)
        await self.hub.send(order.vm_id, message)

    def _count_first_start(self, order: StartTask) -> None:
        work = self.planner.state.active_jobs.get(order.task.job_id)
        if (
            work is None
            or work.started
            or work.job.has_schedule
            or order.task.index
            or order.number > 1
        ):
            return
        waited_s = max(0.0, self.clock.now_s() - work.job.accepted_s)
        self.metrics.first_start_s.observe({"queue": work.queue.name}, waited_s)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            if awake_time() - self.writer.confirmed_s >= RENEW_INTERVAL_S:
                await self.writer.append([])

    async def _admit(self) -> None:
        """Keep which agents may get orders before they get any."""
        while True:
            present = {agent_id for agent_id, member in self.members.items() if member.present}
            keep = set(self.planner.state.vms) | (present & self.hub.agents.keys())
            if not self.planner.takeover_complete:
                keep |= self.awaited
            if keep != self.admitted and await self.election.keep_agents(tuple(sorted(keep))):
                added, self.admitted = keep - self.admitted, keep
                for agent_id in added:
                    await self.hub.send(agent_id, Lead(self.epoch))
            await asyncio.sleep(ADMIT_INTERVAL_S)


def _end_of(name: str) -> AttemptOutcome:
    """Return the end of a name; one that is not known frees the room and counts as no failure."""
    try:
        return AttemptOutcome(name)
    except ValueError:
        log_event(Event.RECORD_BROKEN, key="end", detail=name)
        return AttemptOutcome.LOST


def _shape_of(agent_id: str, vm: VmState) -> VmDescription:
    return VmDescription(
        agent_id,
        vm.incarnation,
        vm.service,
        Resources(vm.cpu_millis, vm.memory_mb, vm.accelerators),
        frozenset(vm.labels),
        vm.rack,
        vm.failure_domain,
        vm.leaving,
    )
