"""Figures of running on the users' platform, measured on the emulator with virtual time."""

from __future__ import annotations

import asyncio
import itertools
import os
import statistics
import time
from typing import TYPE_CHECKING

from bench.figures import Bound, Figure
from bench.log_harness import run_virtual
from briardeal_core.clock import loop_time
from briardeal_core.events import (
    Event,
    LogOutput,
    add_log_destination,
    log_event,
    remove_log_destination,
)
from briardeal_standins.emulator import CONFIGURATION, Emulator, TaskBehavior
from briardeal_workflow.job_table import Progress
from briardeal_workflow.model import Job, Step
from briardeal_workflow.planning import Planner, Resources, VmDescription

if TYPE_CHECKING:
    from collections.abc import Callable

GROUP = "workflow"
SERVICE = CONFIGURATION.services[0].name
ENTRIES = 6
"""Number of entries of the target size, three in each of two regions."""

VMS = 12
TASKS_PER_VM = 8
SETTLE_S = 5.0
MEASURED_S = 20.0
SEEDS = (1, 2, 3)
CONTROL_BYTES_PER_S = 3000
URGENT_START_S = 1.1
TAKEOVER_S = 1.5
PLANNER_VMS = (158, 315, 630)
PLANNER_TASKS_PER_VM = 10
LOADED_VMS = (57, 160)
LOADED_JOB_TASKS = 40
LOADED_SHARE = 2
"""Work that is handed in, as a multiple of what the VMs hold at a time."""

URGENT_JOBS = 3
URGENT_TASKS = 5
LONG_RUN_S = 10_000.0
LOG_JOBS = 40
LOG_TASKS = 8
LOG_RUN_S = 2.0
LOG_INTERVAL_S = 0.5
LOG_LINES = 5000
LOG_ROUNDS = 5


def parts() -> list[Callable[[], list[Figure]]]:
    """Return the measurements."""
    return [
        measure_control,
        measure_takeover,
        measure_urgent,
        measure_rounds,
        measure_loaded_rounds,
        measure_log,
    ]


def combine(results: list[list[Figure]]) -> list[Figure]:
    """Return all figures."""
    return [figure for figures in results for figure in figures]


def measure_control() -> list[Figure]:
    """Return the control traffic of an agent and the rate of calls to the store."""
    return run_virtual(_measure_control)


def measure_takeover() -> list[Figure]:
    """Return the time without an owner after the owner is killed."""
    gaps_s = [run_virtual(lambda seed=seed: _measure_takeover(seed)) for seed in SEEDS]
    bound = Bound("<=", TAKEOVER_S)
    return [Figure(GROUP, "owner killed: time without an owner", max(gaps_s), "s", bound)]


def measure_urgent() -> list[Figure]:
    """Return the time to the start of an urgent job while all VMs are in use."""
    waits_s = [run_virtual(lambda seed=seed: _measure_urgent(seed)) for seed in SEEDS]
    bound = Bound("<=", URGENT_START_S)
    return [Figure(GROUP, "urgent start within a guarantee, longest", max(waits_s), "s", bound)]


def measure_rounds() -> list[Figure]:
    """Return the processor time of a planning round without changes."""
    figures = []
    for vms in PLANNER_VMS:
        title = f"processor time of a round, {vms} VMs of {PLANNER_TASKS_PER_VM} tasks"
        figures.append(Figure(GROUP, title, _measure_round_ms(vms), "ms"))
    return figures


def measure_loaded_rounds() -> list[Figure]:
    """Return the processor time of planning rounds while more work waits than the VMs hold."""
    figures = []
    for vms in LOADED_VMS:
        rounds_ms = _measure_loaded_rounds_ms(vms)
        for kind, round_ms in rounds_ms.items():
            figures.append(Figure(GROUP, f"{kind}, {vms} VMs", round_ms, "ms"))
    return figures


def measure_log() -> list[Figure]:
    """Return the volume of the log and the processor time of writing it."""
    lines, size, processor_s = run_virtual(_measure_log)
    line_s, output_s = _measure_line_cost_s()
    return [
        Figure(GROUP, f"log of a job of {LOG_TASKS} tasks, all processes", size / LOG_JOBS, "B"),
        Figure(GROUP, "processor time of a log line", line_s * 1e6, "us"),
        Figure(GROUP, "part of it in eliot", 1 - output_s / line_s, "share"),
        Figure(GROUP, "log: share of processor time", lines * line_s / processor_s, "share"),
    ]


async def _measure_log() -> tuple[int, int, float]:
    """Return the number of lines and bytes logged for jobs, and the processor time of the run."""
    emulator = Emulator(entries=ENTRIES, vms=VMS)
    await emulator.start()
    await emulator.wait_for_owner()
    await asyncio.sleep(SETTLE_S)
    before, began_s = len(emulator.logs.lines), time.process_time()
    for number in range(LOG_JOBS):
        await emulator.submit(_job(LOG_TASKS, number=number), TaskBehavior(LOG_RUN_S))
        await asyncio.sleep(LOG_INTERVAL_S)
    await asyncio.sleep(SETTLE_S)
    processor_s = time.process_time() - began_s
    lines = emulator.logs.lines[before:]
    await emulator.stop()
    return len(lines), sum(len(line) + 1 for line in lines), processor_s


def _measure_line_cost_s() -> tuple[float, float]:
    """Return the processor time of one log line, in total and for its output alone."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    line_count = itertools.count()
    # The clock advances by 1 s with each line, so that the output does not aggregate lines.
    output = LogOutput(descriptor, lambda: next(line_count))
    fields = {"job_id": "0123456789abcdef", "vm": "vm-1", "cause": "room", "epoch": 1}
    message = {"message_type": "task_ordered", "event": Event.TASK_ORDERED.number, **fields}
    add_log_destination(output)
    total_s, output_s = [], []
    for _ in range(LOG_ROUNDS):
        total_s.append(_time_calls(lambda: log_event(Event.TASK_ORDERED, **fields)))
        output_s.append(_time_calls(lambda: output(message)))
    remove_log_destination(output)
    os.close(descriptor)
    return statistics.median(total_s), statistics.median(output_s)


def _time_calls(call: Callable[[], None]) -> float:
    began_s = time.process_time()
    for _ in range(LOG_LINES):
        call()
    return (time.process_time() - began_s) / LOG_LINES


async def _measure_control() -> list[Figure]:
    emulator = Emulator(entries=ENTRIES, vms=VMS)
    await emulator.start()
    await emulator.wait_for_owner()
    await emulator.submit(_job(VMS * TASKS_PER_VM), TaskBehavior(LONG_RUN_S))
    await asyncio.sleep(SETTLE_S)
    bytes_before, calls_before = _count_agent_bytes(emulator), emulator.store.calls
    await asyncio.sleep(MEASURED_S)
    per_agent = (_count_agent_bytes(emulator) - bytes_before) / MEASURED_S / VMS
    calls = (emulator.store.calls - calls_before) / MEASURED_S
    await emulator.stop()
    title = f"control of an agent with {TASKS_PER_VM} tasks and {ENTRIES} entries"
    return [
        Figure(GROUP, title, per_agent, "B/s", Bound("<=", CONTROL_BYTES_PER_S)),
        Figure(GROUP, f"calls to the store at rest, {ENTRIES} entries", calls, "1/s"),
    ]


async def _measure_takeover(seed: int) -> float:
    emulator = Emulator(seed=seed)
    await emulator.start()
    owner = await emulator.wait_for_owner()
    await asyncio.sleep(SETTLE_S)
    killed_s = loop_time()
    await emulator.kill(owner)
    await emulator.wait_for_owner()
    gap_s = loop_time() - killed_s
    await emulator.stop()
    return gap_s


async def _measure_urgent(seed: int) -> float:
    emulator = Emulator(seed=seed)
    await emulator.start()
    await emulator.wait_for_owner()
    await asyncio.sleep(SETTLE_S)
    await emulator.submit(
        _job(len(emulator.vms), accelerators=8, customer="south"), TaskBehavior(LONG_RUN_S)
    )
    await asyncio.sleep(SETTLE_S)
    urgent = _job(3, accelerators=8, queue="urgent")
    began_s = loop_time()
    await emulator.submit(urgent, TaskBehavior(1.0))
    while urgent.job_id not in emulator.checker.first_start_s:
        await asyncio.sleep(0.01)
    wait_s = emulator.checker.first_start_s[urgent.job_id] - began_s
    await emulator.stop()
    return wait_s


def _measure_round_ms(vms: int) -> float:
    planner = _make_planner(vms, accelerators=16)
    for number in range(vms):
        planner.add_job(_job(PLANNER_TASKS_PER_VM, number=number), Progress(), 0.0)
    planner.decide(0.0, 0.0)
    times_s = []
    for _ in range(5):
        began_s = time.process_time()
        planner.decide(0.0, 0.0)
        times_s.append(time.process_time() - began_s)
    return statistics.median(times_s) * 1000


def _measure_loaded_rounds_ms(vms: int) -> dict[str, float]:
    """Return the processor time of rounds that start, wait and preempt, in milliseconds."""
    planner = _make_planner(vms, accelerators=TASKS_PER_VM)
    jobs = LOADED_SHARE * vms * TASKS_PER_VM // LOADED_JOB_TASKS
    for number in range(jobs):
        planner.add_job(_job(LOADED_JOB_TASKS, number=number), Progress(), 0.0)
    starting_ms = _time_round_ms(planner, 0.0)
    waiting_ms = statistics.median(_time_round_ms(planner, 1.0) for _ in range(3))
    for number in range(URGENT_JOBS):
        job = _job(URGENT_TASKS, accelerators=TASKS_PER_VM, queue="urgent", number=number)
        planner.add_job(job, Progress(), 1.0)
    return {
        "first round, twice the work that fits": starting_ms,
        "round while as much work waits as runs": waiting_ms,
        f"round in which {URGENT_JOBS} urgent jobs preempt": _time_round_ms(planner, 1.0),
    }


def _time_round_ms(planner: Planner, now_s: float) -> float:
    began_s = time.process_time()
    planner.decide(now_s, now_s)
    return (time.process_time() - began_s) * 1000


def _make_planner(vms: int, accelerators: int) -> Planner:
    """Return a planner with VMs of the same size, three to a rack."""
    planner = Planner(1, {}.get)
    planner.configure(CONFIGURATION)
    planner.complete_takeover()
    for number in range(vms):
        description = VmDescription(
            f"vm-{number}",
            "1",
            SERVICE,
            Resources(64_000, 262_144, accelerators),
            rack=f"rack-{number // 3}",
        )
        planner.update_vm(description, LONG_RUN_S, 0.0)
    return planner


def _count_agent_bytes(emulator: Emulator) -> int:
    """Return the bytes that agents have sent and received so far."""
    return sum(
        link.connection.bytes_sent + link.connection.bytes_received
        for name in emulator.vms
        for link in emulator.processes[name].program.links.values()
    )


def _job(
    tasks: int,
    *,
    accelerators: int = 1,
    customer: str = "north",
    queue: str = "bulk",
    number: int = 0,
) -> Job:
    step = Step(tasks, 1000, 1000, accelerators, LONG_RUN_S)
    name = f"{tasks:04x}{accelerators:04x}{number:08x}"
    return Job(name, queue, SERVICE, customer, f"run {name}", (step,))
