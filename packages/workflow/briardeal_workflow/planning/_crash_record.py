"""Worker crashes that are counted against one task."""

from __future__ import annotations

import enum
import math

import attrs

EARLY_CRASH_S = 1.0
"""Run time within which a crash points at the task that was started last."""

PROBATION_MARGIN_S = 1.0
"""Time that a suspect must run beyond its longest run before a crash to be no suspect any more."""

LATE_CRASHES_TO_SUSPECT = 3
"""Number of crashes later in its runs after which a task is a suspect."""

REPEAT_TOLERANCE_S = 0.15
"""Difference of run times up to which two crashes look alike; a task that is the cause crashes its
workers at the same point each time."""

WEIGHT_LIMIT = 14
"""Weight of all crashes at which a task is given up: two alone, four beside others, or five that
may have other causes."""


class CrashWeight(enum.IntEnum):
    """How strongly a crash points at a task."""

    NONE = 0
    """Most workers crashed together."""
    WEAK = 3
    """All that ran had run for a while, or other crashes may have the same cause."""
    STRONG = 4
    """The task had just started or was a suspect, and other jobs ran too."""
    ALONE = 7
    """The task had just started or was a suspect, and no other job ran."""


@attrs.frozen
class TaskCrash:
    """A crash of a worker that ran a task.

    Parameters
    ----------
    vm_id
        VM of the worker.
    ran_s
        Run time of the task until the crash, in seconds; infinity if it is not known.
    primary
        Whether the crash points at the task rather than at others on the worker.
    weight
        How strongly the crash points at the task.
    """

    vm_id: str
    ran_s: float
    primary: bool
    weight: CrashWeight


@attrs.define
class CrashRecord:
    """Worker crashes that are counted, or may be, against one task.

    Attributes
    ----------
    counted
        Crashes that count, by attempt number.
    pending
        Crashes of which it is not known yet whether other workers crashed at the same time, by
        attempt number, with the highest weight that they may get.
    newest_s
        Time of the newest crash, on the event loop's clock.
    """

    counted: dict[int, TaskCrash] = attrs.field(factory=dict)
    pending: dict[int, TaskCrash] = attrs.field(factory=dict)
    newest_s: float = float("-inf")

    @property
    def suspect(self) -> bool:
        """Whether the next attempt of the task should run alone."""
        crashes = self._all()
        late = sum(each.weight > CrashWeight.NONE and not each.primary for each in crashes)
        return any(each.primary for each in crashes) or late >= LATE_CRASHES_TO_SUSPECT

    @property
    def probation_s(self) -> float:
        """Run time after which a suspect is cleared, in seconds."""
        known_s = (each.ran_s for each in self._all() if math.isfinite(each.ran_s))
        return max(known_s, default=0.0) + PROBATION_MARGIN_S

    @property
    def weight(self) -> int:
        """Weight of all counted crashes."""
        return _weight(self.counted)

    @property
    def exceeds_limit(self) -> bool:
        """Whether the task is to be given up."""
        return self.weight >= WEIGHT_LIMIT

    @property
    def awaits_verdict(self) -> bool:
        """Whether the task may have to be given up because of pending crashes."""
        return self.weight + _weight(self.pending) >= WEIGHT_LIMIT

    def add(self, number: int, crash: TaskCrash, at_s: float) -> None:
        """Add a pending crash, unless the crash of that attempt is known."""
        if number not in self.counted:
            self.pending[number] = crash
            self.newest_s = max(self.newest_s, at_s)

    def settle(self, number: int, highest: CrashWeight) -> None:
        """Count a pending crash with its own weight, or a lower one that is the highest allowed."""
        crash = self.pending.pop(number)
        self.counted[number] = attrs.evolve(crash, weight=min(highest, crash.weight))

    def find_similar(self, ran_s: float, number: int | None = None) -> list[TaskCrash]:
        """Return the crashes after the same run time, but for that of one attempt."""
        return [
            crash
            for other, crash in (self.counted | self.pending).items()
            if other != number and abs(crash.ran_s - ran_s) <= REPEAT_TOLERANCE_S
        ]

    def describe(self) -> str:
        """Return the crashes that count, in words."""
        weights = [each.weight for each in self.counted.values() if each.weight]
        alone = weights.count(CrashWeight.ALONE)
        return f"crashed {len(weights)} workers, with no other job on {alone} of them"

    def vms(self) -> list[str]:
        """Return the VMs of the crashes that count."""
        return sorted({each.vm_id for each in self.counted.values() if each.weight})

    def _all(self) -> list[TaskCrash]:
        return [*self.counted.values(), *self.pending.values()]


def _weight(crashes: dict[int, TaskCrash]) -> int:
    return sum(each.weight for each in crashes.values())
