"""Speeds of VMs that differ, and that fall to a fraction for some time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

USUAL_SPEEDS = (0.8, 1.25)
"""Least and greatest speed of a VM outside its slow spells."""

SLOW_FACTORS = (1 / 7, 1 / 5)
"""Least and greatest fraction of its speed during a slow spell."""


@attrs.frozen
class SlowSpell:
    """Time during which a VM runs its tasks at a fraction of its speed, in seconds."""

    began_s: float
    ended_s: float
    factor: float


@attrs.define(eq=False)
class VmSpeeds:
    """Speeds of VMs, 1.0 unless given, and their slow spells in the order of time."""

    speed_by_vm: dict[str, float] = attrs.field(factory=dict)
    spells_by_vm: dict[str, list[SlowSpell]] = attrs.field(factory=dict)

    @classmethod
    def draw(
        cls,
        rng: Random,
        vm_ids: Sequence[str],
        duration_s: float,
        spell_s: float,
        slow_share: float,
    ) -> VmSpeeds:
        """Return random speeds with slow spells of one length.

        Parameters
        ----------
        duration_s, spell_s
            Time over which spells begin, and how long each lasts, in seconds.
        slow_share
            Mean share of the VMs that are slow at a time.
        """
        speeds = cls({vm_id: rng.uniform(*USUAL_SPEEDS) for vm_id in vm_ids})
        pause_s = spell_s * (1 - slow_share) / slow_share
        for vm_id in vm_ids:
            spells = speeds.spells_by_vm[vm_id] = []
            began_s = rng.expovariate(1 / pause_s)
            while began_s < duration_s:
                spells.append(SlowSpell(began_s, began_s + spell_s, rng.uniform(*SLOW_FACTORS)))
                began_s += spell_s + rng.expovariate(1 / pause_s)
        return speeds

    def work_s(self, vm_id: str, from_s: float, until_s: float) -> float:
        """Return the work that a VM does between two times, in seconds at a speed of 1.0."""
        work_s = until_s - from_s
        for spell in self.spells_by_vm.get(vm_id, ()):
            slow_s = max(0.0, min(until_s, spell.ended_s) - max(from_s, spell.began_s))
            work_s -= (1 - spell.factor) * slow_s
        return work_s * self.speed_by_vm.get(vm_id, 1.0)

    def end_s(self, vm_id: str, from_s: float, work_s: float) -> float:
        """Return when a VM has done an amount of work that it begins at a given time."""
        speed = self.speed_by_vm.get(vm_id, 1.0)
        at_s, left_s = from_s, work_s / speed
        for spell in self.spells_by_vm.get(vm_id, ()):
            if spell.ended_s <= at_s:
                continue
            before_s = max(0.0, spell.began_s - at_s)
            if left_s <= before_s:
                break
            at_s += before_s
            left_s -= before_s
            slow_work_s = (spell.ended_s - at_s) * spell.factor
            if left_s <= slow_work_s:
                return at_s + left_s / spell.factor
            at_s, left_s = spell.ended_s, left_s - slow_work_s
        return at_s + left_s
