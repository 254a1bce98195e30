"""The newest description of a VM that its worker has sent to the agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from briardeal_workflow.control import VmState

SHORTEST_STAY_S = 0.001
"""Time that is reported of a VM whose announced time has passed; 0 stands for an unknown time."""

HEARTBEAT_TIMEOUT_S = 5.0
"""Time without a heartbeat after which a worker counts as lost; it sends one every 1.5 s."""


class Registration:
    """Stores the newest description of the VM that its worker has sent.

    Attributes
    ----------
    vm
        Newest description; `None` before the first.
    started_ms, sequence
        Start time of the incarnation that sent it, in milliseconds since 1970, and number of the
        description within that incarnation.
    last_heartbeat_s
        When the newest description was received, on the clock of `loop_time`.
    changed
        Set when `vm` has changed, or when the worker has announced its end.
    """

    def __init__(self) -> None:
        self.vm: VmState | None = None
        self.started_ms = 0
        self.sequence = -1
        self.last_heartbeat_s = float("-inf")
        self.changed = asyncio.Event()
        self._leaving_since_s: float | None = None
        self._leaving_until_s = 0.0
        self._replaced: tuple[VmState, int, int] | None = None

    @property
    def alive(self) -> bool:
        """Whether the worker has sent a heartbeat recently."""
        return self.vm is not None and loop_time() - self.last_heartbeat_s < HEARTBEAT_TIMEOUT_S

    def update(self, vm: VmState, started_ms: int, sequence: int) -> None:
        """Store a description unless a newer one is known.

        Parameters
        ----------
        vm
            Description of the VM.
        started_ms
            Start time of the incarnation, in milliseconds since 1970.
        sequence
            Number of the description within the incarnation.
        """
        if (started_ms, sequence) <= (self.started_ms, self.sequence):
            return
        if self.vm is not None and vm.incarnation != self.vm.incarnation:
            log_event(Event.WORKER_REPLACED, incarnation=vm.incarnation)
            self._replaced = (self.vm, self.started_ms, self.sequence)
        self.started_ms, self.sequence = started_ms, sequence
        self.last_heartbeat_s = loop_time()
        self._record_departure(vm)
        # The time left differs in each heartbeat and is part of each report anyway.
        vm = msgspec.structs.replace(vm, leaving_in_s=0.0)
        if vm != self.vm:
            self.vm = vm
            self.changed.set()

    def describe(self) -> VmState | None:
        """Return the newest description with the times of the departure as of now."""
        if self.vm is None or not self.vm.leaving or self._leaving_since_s is None:
            return self.vm
        now_s = loop_time()
        in_s = 0.0
        if self._leaving_until_s:
            in_s = max(SHORTEST_STAY_S, round(self._leaving_until_s - now_s, 3))
        for_s = round(now_s - self._leaving_since_s, 3)
        return msgspec.structs.replace(self.vm, leaving_in_s=in_s, leaving_for_s=for_s)

    def confirm(self, incarnation: str) -> None:
        """Record that the worker has answered as an incarnation."""
        if self.vm is not None and self.vm.incarnation == incarnation:
            self._replaced = None

    def reject(self, incarnation: str) -> None:
        """Forget an incarnation that the worker denies to be.

        If the worker has never answered as this incarnation, the description came from another
        process, and the one before it is valid. Otherwise, the next description is.
        """
        if self.vm is None or self.vm.incarnation != incarnation:
            return
        if self._replaced is not None:
            log_event(Event.WORKER_DENIED, incarnation=incarnation)
            self.vm, self.started_ms, self.sequence = self._replaced
            self._replaced = None
            self.changed.set()
        else:
            self.started_ms, self.sequence = 0, -1

    def mark_ended(self, incarnation: str) -> None:
        """Record that an incarnation of the worker has announced its end."""
        if self.vm is not None and self.vm.incarnation == incarnation:
            self.last_heartbeat_s = float("-inf")
            self.changed.set()

    def _record_departure(self, vm: VmState) -> None:
        now_s = loop_time()
        same = self.vm is not None and vm.incarnation == self.vm.incarnation
        if not vm.leaving or not same:
            self._leaving_since_s, self._leaving_until_s = None, 0.0
        if vm.leaving and self._leaving_since_s is None:
            self._leaving_since_s = now_s
        if vm.leaving and vm.leaving_in_s > 0:
            self._leaving_until_s = now_s + vm.leaving_in_s
