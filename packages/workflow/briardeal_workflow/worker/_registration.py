"""What the worker beside an agent has last said of itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from briardeal_workflow.control import VmState

SILENCE_LIMIT_S = 5.0
"""Silence after which a worker counts as gone; it speaks up every 1.5 s."""


class Registration:
    """Keeps the newest description of the worker.

    Attributes
    ----------
    vm
        The description; `None` before the first.
    changed
        Set when it has changed.
    """

    def __init__(self) -> None:
        self.vm: VmState | None = None
        self.born_ms = 0
        self.sequence = -1
        self.heard_s = float("-inf")
        self.changed = asyncio.Event()

    @property
    def alive(self) -> bool:
        """Whether the worker was heard lately."""
        return self.vm is not None and loop_time() - self.heard_s < SILENCE_LIMIT_S

    def update(self, vm: VmState, born_ms: int, sequence: int) -> None:
        """Take a description unless a newer one is known.

        Parameters
        ----------
        vm
            The description.
        born_ms
            When this incarnation was started, in milliseconds since 1970.
        sequence
            Number of the description within the incarnation.
        """
        if (born_ms, sequence) <= (self.born_ms, self.sequence):
            return
        if self.vm is not None and vm.incarnation != self.vm.incarnation:
            log_event(Event.WORKER_REPLACED, incarnation=vm.incarnation)
        self.born_ms, self.sequence = born_ms, sequence
        self.heard_s = loop_time()
        if vm != self.vm:
            self.vm = vm
            self.changed.set()

    def mark_ended(self, incarnation: str) -> None:
        """Note that a worker says that it ends."""
        if self.vm is not None and self.vm.incarnation == incarnation:
            self.heard_s = float("-inf")
            self.changed.set()
