"""Deployment of entries, agents and workers in one event loop."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import WallClock, loop_time
from briardeal_core.reasons import Refusal, RunState
from briardeal_protocol.connections import MemoryHost, MemoryNetwork
from briardeal_standins.emulator._checker import Checker
from briardeal_standins.emulator._logs import LogCollector
from briardeal_standins.emulator._operators import follow_evacuations, write_evacuation
from briardeal_standins.emulator._store import MemoryStore, StoreClient, StoreFault
from briardeal_standins.emulator._worker import StandinVm, TaskBehavior
from briardeal_workflow.control import CONTROL_CODEC, VmState
from briardeal_workflow.entry import Entry
from briardeal_workflow.model import Configuration, Customer, PlannerTiming, Queue, Service
from briardeal_workflow.worker import WorkerAgent

if TYPE_CHECKING:
    from collections.abc import Collection

    from briardeal_workflow.model import Job, OverloadPolicy, TaskId

SERVICE = "sampling"
EPOCH_S = 1_000_000.0
"""Time of day at the start, in seconds since 1970."""

VMS_PER_RACK = 3
CALL_TIMEOUT_S = 3.0
"""Timeout of a call to an entry, in seconds."""

CONFIGURATION = Configuration(
    1,
    queues=(
        Queue("urgent", "a.example", "/urgent/", SERVICE, 0, 4, 1.5, 0.4),
        Queue("batch", "a.example", "/batch/", SERVICE, 1, 3, 3.0, 1.2),
        Queue("bulk", "a.example", "/bulk/", SERVICE, 2, 3, 3.0, 3.0),
    ),
    services=(Service(SERVICE),),
    customers=(
        Customer("north", frozenset({"key-north"}), 24),
        Customer("south", frozenset({"key-south"}), 24),
    ),
)


TIMING = PlannerTiming(evacuation_s=5.0)


@attrs.define(eq=False)
class _Process:
    """A running entry or agent with its asyncio task."""

    program: Entry | WorkerAgent
    task: asyncio.Task[None]


class Emulator:
    """Entries, agents, workers and a store on virtual time.

    Parameters
    ----------
    entries, vms
        Number of entries and of VMs.
    seed
        Seed of all random choices.
    configuration
        Configuration of all entries.
    timing
        Times that the platform promises.
    overload
        Operator's choices of all entries for times of too little capacity.

    Attributes
    ----------
    logs
        Log lines of all processes.
    checker
        Checks invariants and collects their violations.
    clock, entry_clocks
        Right time of day, and the clocks of those entries that differ from it, by entry.
    terms
        Terms of each queue, which its jobs keep while it is not configured.
    behaviors
        Behavior of the tasks of each command.
    vm_by_attempt
        VM of every running attempt.
    processes
        Running entries and agents by name.
    """

    def __init__(
        self,
        entries: int = 3,
        vms: int = 6,
        seed: int = 1,
        configuration: Configuration = CONFIGURATION,
        timing: PlannerTiming = TIMING,
        overload: OverloadPolicy | None = None,
    ) -> None:
        self.timing = timing
        self.overload = overload
        self.seed = seed
        self.rng = random.Random(seed)
        self._incarnation_numbers = itertools.count(1)
        self.configuration = configuration
        self.store = MemoryStore()
        self.network = MemoryNetwork(codec=CONTROL_CODEC)
        self.clock = WallClock(EPOCH_S)
        self.entry_clocks: dict[str, WallClock] = {}
        self.checker = Checker()
        self.checker.failure_limits = {
            queue.name: queue.failure_limit for queue in configuration.queues
        }
        self.terms = {queue.name: queue.terms for queue in configuration.queues}
        self.logs = LogCollector()
        self.behaviors: dict[str, TaskBehavior] = {}
        self.vm_by_attempt: dict[tuple[TaskId, int], StandinVm] = {}
        self.entry_names = [f"entry-{number}" for number in range(entries)]
        self.vms = {
            name: self._make_vm(name, number)
            for number, name in enumerate(f"vm-{number}" for number in range(vms))
        }
        self.processes: dict[str, _Process] = {}
        self._vm_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all processes and workers."""
        self.logs.start()
        self._vm_tasks = [self._spawn(vm.run()) for vm in self.vms.values()]
        for name in (*self.entry_names, *self.vms):
            self.start_process(name)

    async def stop(self) -> None:
        """Stop all processes and workers.

        Raises
        ------
        Exception
            If a worker has ended by itself because of that exception.
        """
        ended_workers = [task for task in self._vm_tasks if task.done()]
        for name in list(self.processes):
            await self.kill(name)
        remaining = [*self._vm_tasks, *self.network.tasks]
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        self.logs.stop()
        for task in ended_workers:
            task.result()

    def start_process(self, name: str) -> None:
        """Start an entry or an agent without earlier state, unless it runs."""
        if name in self.processes:
            return
        self.network.unreachable.discard(self.address_of(name))
        network = MemoryHost(self.network, name)
        if name in self.vms:
            vm = self.vms[name]
            seeds = tuple(self.address_of(entry) for entry in self.entry_names)
            program: Entry | WorkerAgent = WorkerAgent(name, vm, vm.registration, network, seeds)
            vm.registration.changed.set()
        else:
            client = StoreClient(self.store, name)
            seeds = tuple(self.address_of(entry) for entry in self.entry_names)
            incarnation = f"{name}/{self.seed}/{next(self._incarnation_numbers)}"
            address = self.address_of(name)
            clock = self.entry_clocks.get(name, self.clock)
            program = Entry(
                name,
                incarnation,
                address,
                client,
                network,
                clock,
                seeds,
                timing=self.timing,
                overload=self.overload,
            )
            program.configure(self.configuration)
        with self.logs.attribute_to(name):
            self.processes[name] = _Process(program, self._spawn(_run_program(program)))

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration into force on all entries."""
        self.configuration = configuration
        for name in self.entry_names:
            if name in self.processes:
                self.entry(name).configure(configuration)

    def evacuate(self, domain: str, value: bytes = b"{}") -> None:
        """Request the evacuation of a failure domain; the store has the record at once."""
        write_evacuation(self.store, domain, value)
        self.checker.record_evacuation(domain)

    def take_back(self, domain: str) -> None:
        """Take a failure domain back into use."""
        write_evacuation(self.store, domain, None)
        self.checker.record_return(domain)

    def check_configuration(self) -> None:
        """Check that the owner plans by the configuration that is in force in its entry."""
        name = self.owner_name()
        if name is not None:
            entry = self.entry(name)
            self.checker.check_configuration(
                name,
                entry.owner.planner.state.configuration.version,
                entry.configuration.version,
            )

    def shift_clock(self, name: str, seconds: float) -> None:
        """Let the clock of an entry differ from the right time of day, from its next start on."""
        self.entry_clocks[name] = WallClock(EPOCH_S + seconds)

    async def kill(self, name: str) -> None:
        """Kill a process, if it runs, and reset its connections."""
        process = self.processes.pop(name, None)
        if process is None:
            return
        process.task.cancel()
        self.network.listeners.pop(self.address_of(name), None)
        self.network.cut(self.address_of(name))
        if isinstance(process.program, WorkerAgent):
            process.program.orders.cancel_all()
            for link in list(process.program.links.values()):
                await link.connection.close()
        await asyncio.gather(process.task, return_exceptions=True)

    def isolate(self, names: Collection[str]) -> None:
        """Cut processes off from all others and from the store, but not from each other."""
        others = [name for name in (*self.entry_names, *self.vms) if name not in names]
        self.network.cut_off(names, others)
        for name in names:
            self.store.faults[name] = StoreFault.SILENT

    def reconnect_all(self) -> None:
        """End all cuts of the network and all faults of the store."""
        self.network.cuts.clear()
        self.store.faults.clear()

    async def cut_power(self) -> None:
        """Kill all processes and workers at once."""
        for vm in self.vms.values():
            vm.kill()
        for name in list(self.processes):
            await self.kill(name)

    def restore_power(self) -> None:
        """Start all processes and workers without earlier state."""
        for vm in self.vms.values():
            vm.restart()
        for name in (*self.entry_names, *self.vms):
            self.start_process(name)

    def address_of(self, name: str) -> str:
        """Return the address of a process."""
        return f"{name}:7000"

    def entry(self, name: str) -> Entry:
        """Return a running entry."""
        return self.processes[name].program

    def owner_name(self) -> str | None:
        """Return the name of the entry that owns the jobs, or `None` if there is none."""
        for name in self.entry_names:
            process = self.processes.get(name)
            if process is not None and process.program.control_server.owner is not None:
                return name
        return None

    async def wait_for_owner(self, limit_s: float = 30.0) -> str:
        """Wait until an entry owns the jobs and return its name."""
        async with asyncio.timeout(limit_s):
            while (name := self.owner_name()) is None:
                await asyncio.sleep(0.02)
        return name

    async def submit(
        self, job: Job, behavior: TaskBehavior, entry: str | None = None
    ) -> bool | None:
        """Submit a job; return whether it was accepted, or `None` if that is unknown."""
        running = [each for each in self.entry_names if each in self.processes]
        name = entry or (self.rng.choice(running) if running else "")
        accepted_s = job.accepted_s or self.entry_clocks.get(name, self.clock).now_s()
        job = msgspec.structs.replace(job, terms=self.terms[job.queue], accepted_s=accepted_s)
        self.behaviors[job.command] = behavior
        self.checker.jobs[job.job_id] = job
        if name not in running:
            return False
        # While a further call is under way, the job may be stored, and so may start.
        self.checker.refused.discard(job.job_id)
        with self.logs.attribute_to(name):
            outcome = await self.entry(name).gateway.submit(job, loop_time() + CALL_TIMEOUT_S)
        if not isinstance(outcome, Refusal):
            self.checker.accepted.setdefault(job.job_id, loop_time())
            return True
        if outcome.run_state is RunState.NOT_RUN:
            self.checker.record_refusal(job.job_id)
            return False
        self.checker.uncertain.add(job.job_id)
        return None

    async def cancel(self, job_id: str, entry: str) -> bool:
        """Cancel a job; return whether the entry processed the request."""
        if entry not in self.processes:
            return False
        with self.logs.attribute_to(entry):
            outcome = await self.entry(entry).gateway.cancel(job_id, loop_time() + CALL_TIMEOUT_S)
        if isinstance(outcome, Refusal):
            return False
        if not outcome:
            self.checker.check_unknown(job_id)
        self.checker.cancelled_s.setdefault(job_id, loop_time())
        return True

    def state(self, job_id: str, entry: str) -> str | None:
        """Return the state of a job as an entry reports it, or `None` if it has none."""
        with self.logs.attribute_to(entry):
            found = self.entry(entry).gateway.find(job_id)
        if isinstance(found, Refusal):
            return None
        if found is None:
            self.checker.check_unknown(job_id)
            return None
        self.checker.check_state(job_id, found.state)
        return found.state.value

    async def wait_for_state(self, job_id: str, state: str, limit_s: float) -> float:
        """Wait until all running entries report a state; return the waiting time, in seconds."""
        started_s = loop_time()
        async with asyncio.timeout(limit_s):
            while True:
                running = [each for each in self.entry_names if each in self.processes]
                if all(self.state(job_id, each) == state for each in running):
                    return loop_time() - started_s
                await asyncio.sleep(0.02)

    def _make_vm(self, name: str, number: int) -> StandinVm:
        rack = f"rack-{number // VMS_PER_RACK}"
        state = VmState(
            f"{name}@1",
            SERVICE,
            f"domain-{number % 3}",
            rack,
            32_000,
            65_536,
            8,
            ("a", rack),
            False,
        )
        return StandinVm(
            name,
            state,
            lambda command: self.behaviors[command],
            self._gang_size,
            lambda task: self.checker.jobs[task.job_id].steps[task.step].checkpointable,
            self.vm_by_attempt,
            self.checker,
        )

    def _gang_size(self, task: TaskId) -> int:
        step = self.checker.jobs[task.job_id].steps[task.step]
        return step.tasks if step.gang else 1

    def _spawn(self, coroutine: object) -> asyncio.Task[None]:
        return asyncio.get_running_loop().create_task(coroutine)


async def _run_program(program: Entry | WorkerAgent) -> None:
    if isinstance(program, WorkerAgent):
        await program.run()
        return
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(follow_evacuations(program).run())
        tasks.create_task(program.run())
