"""What becomes of tasks on VMs that have announced that they leave."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._departure_room import DepartureRoom
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._remaining import Remaining, estimate_remaining

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm

STOP_SHOWN_S = 0.6
"""Time beside the stop that a move needs before a VM leaves: a planning round of 0.25 s, the order,
and the call of the agent that fetches the checkpoint."""

MIN_SAVED_SHARE = 1 / 3
"""Share of the expected loss of staying that a stop must save. The announced time is a minimum, and
an urgent task that was 0.3 s short of its end ended in time on a VM that stayed longer."""

MIN_CERTAIN_SAVED_SHARE = 0.1
"""The same for what can't end by then even if the VM stays for `LONGER_STAY_S` more: a gang that
needed 10 s on a VM that left after the announced 5.5 s lost 18,000 core-seconds instead of
13,000."""

LONGER_STAY_S = 1.0
"""Time by which a VM may stay longer than announced."""

DECISION_INTERVAL_S = 0.2
"""Time after which the same departures are looked at again. Rounds under load follow each other
within 0.02 s, and looking at twelve full VMs takes twice as long as the rest of a round."""


class Decision(enum.StrEnum):
    """What becomes of the attempts of a task or a gang of which some are on a leaving VM."""

    STAYS = "stays"
    """It ends in time, or the chance of that is worth more than what a stop saves."""
    WAITS = "moves later"
    """It can end in time, and its checkpoint can still be written at the last moment."""
    MOVES = "moves"
    NO_ROOM = "could not restart"
    """It would move, but the other VMs have no capacity for it now or soon."""
    BUDGET = "within its disruption budget"
    """It would move, but too many tasks of its step are not ready."""


@attrs.frozen(eq=False)
class Departure:
    """Attempts that end together, of which some are on a leaving VM.

    Parameters
    ----------
    group, members
        Group of the attempts, and the attempts: all members of a gang, or a single task.
    left_s
        Time until the first of their VMs leaves, in seconds.
    remaining
        Their remaining run time; for a gang that of its slowest member.
    ran_core_s, cores
        What they have run so far, in core-seconds, and their size, with accelerators as cores.
    restart_core_s
        What a stop loses if they resume from a checkpoint, in core-seconds.
    """

    group: TaskGroup
    members: tuple[Attempt, ...]
    left_s: float
    remaining: Remaining
    ran_core_s: float
    cores: float
    restart_core_s: float

    @property
    def stop_loss_core_s(self) -> float:
        """Work lost by a stop now, in core-seconds."""
        return self.restart_core_s if self.group.step.checkpointable else self.ran_core_s

    @property
    def stay_loss_core_s(self) -> float:
        """Expected loss of staying: what is done when the VM leaves, unless it ends by then."""
        done_core_s = self.ran_core_s + max(0.0, self.left_s) * self.cores
        return (1.0 - self.remaining.chance_within(self.left_s)) * done_core_s

    @property
    def saved_core_s(self) -> float:
        """What a stop is expected to save, in core-seconds."""
        return self.stay_loss_core_s - self.stop_loss_core_s

    def decide(self, stop_s: float) -> Decision:
        """Return whether to stop the attempts, by the smaller of the expected losses.

        Parameters
        ----------
        stop_s
            Time within which workers stop a task.
        """
        step = self.group.step
        if step.long_running:
            return Decision.MOVES
        if step.checkpointable:
            can_end = self.remaining.expected_s <= self.left_s
            if can_end and self.left_s > stop_s + STOP_SHOWN_S:
                return Decision.WAITS
            if not can_end:
                return Decision.MOVES
        can_end = self.remaining.earliest_s <= self.left_s + LONGER_STAY_S
        share = MIN_SAVED_SHARE if can_end else MIN_CERTAIN_SAVED_SHARE
        saves_enough = self.saved_core_s > share * self.stay_loss_core_s
        return Decision.MOVES if saves_enough else Decision.STAYS


class DepartureHandler:
    """Stops what can neither end before its VM leaves nor be kept otherwise.

    Answers VMs that leave at a notice of a few seconds under full load, several at the same time,
    with gangs across them: a large gang that goes on until its VM is gone loses all it has run.
    Unless the settings ask for that, only tasks that can resume are stopped: the announced time is
    a minimum, and where VMs stay longer, most of the others end there.

    Parameters
    ----------
    state
        Planner state with the VMs and attempts.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state
        self._logged: dict[tuple[TaskId, int], Decision] = {}
        self._leaving: set[tuple[str, float]] = set()
        self._next_s = float("-inf")

    def stop_departing(self, now_s: float) -> None:
        """Order stops on leaving VMs; what is stopped is placed anew once it has ended."""
        leaving = [vm for vm in self.state.vms.values() if vm.leaves_s is not None and vm.attempts]
        if not leaving and not self._leaving:
            return
        announced = {(vm.vm_id, vm.leaves_s) for vm in leaving}
        if announced <= self._leaving and now_s < self._next_s:
            return
        self._leaving, self._next_s = announced, now_s + DECISION_INTERVAL_S
        if not leaving:
            self._logged = {}
            return
        room = DepartureRoom(self.state, now_s)
        departures = self._find_departures(leaving, now_s)
        if not self.state.overload.stops_departing:
            self._move_resumable(departures)
            return
        departures.sort(key=lambda each: (each.members[0].priority, -each.saved_core_s))
        stop_s = self.state.timing.stop_s
        known, self._logged = self._logged, {}
        for departure in departures:
            group, decision = departure.group, departure.decide(stop_s)
            if decision is Decision.MOVES and not group.may_disrupt():
                decision = Decision.BUDGET
            last_moment = group.step.checkpointable and departure.left_s <= stop_s + STOP_SHOWN_S
            if (
                decision is Decision.MOVES
                and not room.take(group, departure.members, departure.left_s)
                and not last_moment
            ):
                # A checkpoint is written by the stop, so a late one is worth it without capacity.
                decision = Decision.NO_ROOM
            self._log(departure, decision, known)
            if decision is Decision.MOVES:
                for attempt in departure.members:
                    self.state.stop(
                        attempt,
                        "VM is leaving",
                        loss_cause=LossCause.VM_LEAVING,
                        leaves_in_s=round(departure.left_s, 3),
                        ends_in_s=round(departure.remaining.expected_s, 3),
                    )

    def _move_resumable(self, departures: Sequence[Departure]) -> None:
        """Stop what can go on elsewhere; all else may end, as VMs often stay for longer."""
        for departure in departures:
            group = departure.group
            resumable = group.step.checkpointable or group.step.long_running
            if not resumable or not group.may_disrupt():
                continue
            for attempt in departure.members:
                self.state.stop(attempt, "VM is leaving", loss_cause=LossCause.VM_LEAVING)

    def _find_departures(self, leaving: Sequence[Vm], now_s: float) -> list[Departure]:
        found, seen = [], set()
        for vm in leaving:
            for attempt in vm.attempts.values():
                group = self.state.group_of(attempt.task)
                if group is None or attempt.phase is AttemptPhase.STOPPING or id(attempt) in seen:
                    continue
                members = self.state.stopped_together(attempt)
                seen.update(map(id, members))
                unknown = group.takeover_pending or group.unreported_vms
                if group.step.gang and unknown and len(members) < group.step.tasks:
                    # Members that an earlier owner started decide too when the gang ends.
                    continue
                found.append(self._describe(group, members, now_s))
        return found

    def _describe(self, group: TaskGroup, members: tuple[Attempt, ...], now_s: float) -> Departure:
        leaves_s = min(
            vm.leaves_s
            for vm in (self.state.vms[each.vm_id] for each in members)
            if vm.leaves_s is not None
        )
        remaining = [estimate_remaining(each, group.step.estimate_s, now_s) for each in members]
        return Departure(
            group,
            members,
            leaves_s - now_s,
            Remaining(
                max(each.earliest_s for each in remaining),
                max(each.expected_s for each in remaining),
                max(each.latest_s for each in remaining),
            ),
            sum(
                max(0.0, now_s - each.ordered_s) * each.resources.core_equivalents
                for each in members
            ),
            sum(each.resources.core_equivalents for each in members),
            sum(each.restart_s * each.resources.core_equivalents for each in members),
        )

    def _log(
        self,
        departure: Departure,
        decision: Decision,
        known: Mapping[tuple[TaskId, int], Decision],
    ) -> None:
        """Log a decision if it differs from that of the round before."""
        first = departure.members[0]
        key = (first.task, first.number)
        self._logged[key] = decision
        if known.get(key) is decision:
            return
        log_event(
            Event.DEPARTURE_DECIDED,
            job_id=first.task.job_id,
            task=str(first.task),
            tasks=len(departure.members),
            decision=decision,
            leaves_in_s=round(departure.left_s, 3),
            ends_in_s=round(departure.remaining.expected_s, 3),
            chance=round(departure.remaining.chance_within(departure.left_s), 2),
            stop_loss_core_s=round(departure.stop_loss_core_s, 1),
            stay_loss_core_s=round(departure.stay_loss_core_s, 1),
        )
