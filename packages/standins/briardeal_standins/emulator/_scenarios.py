"""Seeded scenarios: callers submit jobs while disruptions of several kinds go on."""

from __future__ import annotations

import asyncio
import enum
from functools import partial
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import loop_time
from briardeal_standins.emulator._callers import (
    RETRY_PAUSE_S,
    Callers,
    service_of,
    submit_crashing_job,
    submit_jobs,
)
from briardeal_standins.emulator._evacuations import evacuate_domains, is_loading, known_domains
from briardeal_standins.emulator._store import StoreFault
from briardeal_standins.emulator._worker import ORDER_DELAY_S, VmFault
from briardeal_workflow.model import Queue

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_standins.emulator._emulator import Emulator

FAULT_S = 5.0
"""Seconds for which a group of VMs has a fault."""

FAULTY_SHARE = 0.25
"""Share of the VMs that have a fault at the same time."""

FLAP_INTERVAL_S = 1.4
"""Seconds between two changes of a VM that goes down and up by turns."""

TOPIC_FAULT_S = 4.5
"""Longest time for which a topic of the store fails, in seconds."""

TAKEOVER_POLL_S = 0.001
"""Seconds between two looks at whether a takeover is under way, which takes about 0.03 s."""

NOTICE_S = 2.0
"""Seconds between the announcement that a VM leaves and its end."""

REPLACEMENT_S = 4.0
"""Seconds after the end of a VM until another one takes its place."""

CONFIGURATION_INTERVAL_S = 0.33
"""Seconds between two configurations of a storm."""

LATE_SHARE = 0.3
"""Share of the lost answers whose appends are carried out late."""

GRACEFUL_SHARE = 0.5
"""Share of the restarts in which the owner hands over before it ends."""

HAND_OVER_S = 1.0
"""Seconds that an owner is given to hand over."""

RESTART_S = 1.0
"""Seconds after which a process that has ended starts again."""

OWNER_SHARE = 0.7
"""Share of the cuts that isolate the owner rather than any entry."""

ISOLATION_LIMIT_S = 9.0
"""Longest time of a cut; longer than the leases of an owner and its agents."""

ANOTHER_START_MS = 10**6
"""Start time in the descriptions of other writers, later than any of the emulated workers."""

FINISH_LIMIT_S = 60.0
"""Seconds after the last submission within which all jobs must have ended."""


class Disruption(enum.Enum):
    """Kinds of disruption."""

    FALSE_HEALTH = "false health"
    """VMs seem healthy and fail or stall all tasks, or seem unhealthy and are not."""
    FLAPPING = "flapping"
    """VMs go down and up by turns."""
    MOVING_CALLERS = "moving callers"
    """All callers move to the entry of one failure domain, then to that of another."""
    SHORT_NOTICE = "short notice"
    """VMs are taken away soon after they announce it, and others take their place later."""
    CONFIGURATION_STORM = "configuration storm"
    """Configurations change in quick succession."""
    CHANGING_CAPACITY = "changing capacity"
    """The capacity of VMs shrinks and grows again while they run tasks."""
    CRASHING_TASKS = "crashing tasks"
    """Tasks crash each worker that starts them."""
    LOST_ANSWERS = "lost answers"
    """The store carries out appends, now or later, and does not answer."""
    UNANSWERED_ORDERS = "unanswered orders"
    """VMs leave orders unanswered, and carry them out late or at once."""
    RESTARTS = "restarts"
    """Entries and agents are killed, or stopped gracefully, and start again."""
    ISOLATION = "isolation"
    """An entry and some VMs are cut off from all others and from the store."""
    REMOVED_QUEUES = "removed queues"
    """Queues with jobs are removed from the configuration and added again later."""
    OTHER_WRITERS = "other writers"
    """Agents receive descriptions of workers that are not there."""
    FAILING_TOPIC = "failing topic"
    """One topic of the store fails, and the owner and some agents are lost at its end."""
    SAME_INSTANCE = "same instance"
    """Workers restart under their instance ID and carry out calls for their earlier incarnation."""
    TAKEOVER_CHANGES = "takeover changes"
    """The configuration changes while a new owner takes over."""
    EVACUATION = "evacuation"
    """Failure domains are evacuated and taken back, also during takeovers, changes and outages."""
    SLOW_VMS = "slow VMs"
    """VMs run their tasks at a fifth of the usual pace for some seconds."""


async def run_scenario(
    site: Emulator, disruptions: Sequence[Disruption], duration_s: float
) -> None:
    """Submit a mixed load while all given disruptions go on, and wait until all jobs have ended.

    Raises
    ------
    TimeoutError
        If a job has not ended in time, or an entry keeps a domain evacuated that is in use again.
    """
    callers = Callers(site.entry_names)
    async with asyncio.TaskGroup() as tasks:
        for disruption in disruptions:
            tasks.create_task(run_disruption(site, disruption, callers, duration_s))
        tasks.create_task(submit_jobs(site, callers, duration_s))
    async with asyncio.timeout(FINISH_LIMIT_S):
        while not all(_has_ended(site, job_id) for job_id in callers.pending):
            await asyncio.sleep(RETRY_PAUSE_S)
        while any(
            evacuated != site.checker.evacuated_s.keys() for evacuated in known_domains(site)
        ):
            await asyncio.sleep(RETRY_PAUSE_S)


async def run_disruption(
    site: Emulator, disruption: Disruption, callers: Callers, duration_s: float
) -> None:
    """Cause disruptions of one kind for some time, then end them."""
    cause_next = {
        Disruption.FALSE_HEALTH: partial(_falsify_health, site),
        Disruption.SLOW_VMS: partial(_slow_down, site),
        Disruption.FLAPPING: partial(_flap, site),
        Disruption.MOVING_CALLERS: partial(_move_callers, site, callers),
        Disruption.SHORT_NOTICE: partial(_take_away, site),
        Disruption.CONFIGURATION_STORM: partial(_change_configuration, site),
        Disruption.CHANGING_CAPACITY: partial(_change_capacity, site),
        Disruption.CRASHING_TASKS: partial(submit_crashing_job, site, callers),
        Disruption.LOST_ANSWERS: partial(_lose_answers, site),
        Disruption.UNANSWERED_ORDERS: partial(_leave_orders_unanswered, site),
        Disruption.RESTARTS: partial(_restart_processes, site),
        Disruption.ISOLATION: partial(_isolate, site),
        Disruption.REMOVED_QUEUES: partial(_remove_queue, site),
        Disruption.OTHER_WRITERS: partial(_describe_another_worker, site),
        Disruption.FAILING_TOPIC: partial(_fail_topic, site),
        Disruption.SAME_INSTANCE: partial(_restart_workers, site),
        Disruption.TAKEOVER_CHANGES: partial(_change_during_takeover, site),
        Disruption.EVACUATION: partial(evacuate_domains, site, partial(_configure_anew, site)),
    }[disruption]
    end_s = loop_time() + duration_s
    while loop_time() < end_s:
        await cause_next()


def _has_ended(site: Emulator, job_id: str) -> bool:
    """Return whether all running entries report a job as completed or failed."""
    running = [name for name in site.entry_names if name in site.processes]
    return all(site.state(job_id, name) in ("completed", "failed") for name in running)


async def _falsify_health(site: Emulator) -> None:
    kinds = (VmFault.FAILS_ALL, VmFault.NO_PROGRESS, VmFault.REJECTS_STARTS)
    vms = _pick_vms(site)
    for name in vms:
        site.vms[name].fault = site.rng.choice(kinds)
    await asyncio.sleep(FAULT_S)
    for name in vms:
        if site.vms[name].fault in kinds:
            site.vms[name].fault = VmFault.NONE
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _slow_down(site: Emulator) -> None:
    vms = [name for name in _pick_vms(site) if site.vms[name].fault is VmFault.NONE]
    for name in vms:
        site.vms[name].fault = VmFault.SLOW
    await asyncio.sleep(site.rng.uniform(FAULT_S, 2 * FAULT_S))
    for name in vms:
        if site.vms[name].fault is VmFault.SLOW:
            site.vms[name].fault = VmFault.NONE
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _flap(site: Emulator) -> None:
    vms = _pick_vms(site)
    for _ in range(int(FAULT_S / FLAP_INTERVAL_S)):
        for name in vms:
            site.vms[name].kill()
        await asyncio.sleep(FLAP_INTERVAL_S / 2)
        for name in vms:
            site.vms[name].restart()
        await asyncio.sleep(FLAP_INTERVAL_S / 2)
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _move_callers(site: Emulator, callers: Callers) -> None:
    await asyncio.sleep(site.rng.uniform(0.5, FAULT_S))
    callers.entries = site.rng.sample(site.entry_names, k=1)


async def _take_away(site: Emulator) -> None:
    vms = _pick_vms(site)
    for name in vms:
        site.vms[name].leave(NOTICE_S)
    await asyncio.sleep(NOTICE_S)
    for name in vms:
        site.vms[name].kill()
        await site.kill(name)
    await asyncio.sleep(REPLACEMENT_S)
    for name in vms:
        site.vms[name].restart()
        site.start_process(name)
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _change_capacity(site: Emulator) -> None:
    """Halve the capacity of some VMs for some time; the worker may be replaced meanwhile."""
    full = {name: site.vms[name].state for name in _pick_vms(site)}
    for name in full:
        site.vms[name].resize(0.5)
    await asyncio.sleep(2 * FAULT_S)
    for name, state in full.items():
        if site.vms[name].state.accelerators < state.accelerators:
            site.vms[name].resize(2.0)
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _change_configuration(site: Emulator) -> None:
    await asyncio.sleep(CONFIGURATION_INTERVAL_S)
    _configure_anew(site)


def _configure_anew(site: Emulator) -> None:
    """Change guarantees, targets, and queues that nobody uses."""
    rng = site.rng
    old = site.configuration
    used = tuple(
        attrs.evolve(queue, latency_target_s=queue.latency_target_s * rng.uniform(0.8, 1.25))
        for queue in old.queues
        if not queue.name.startswith("idle-")
    )
    idle = tuple(
        Queue(f"idle-{number}", "a.example", f"/idle-{number}/", service_of(site))
        for number in range(rng.randint(0, 40))
    )
    customers = tuple(
        attrs.evolve(customer, guaranteed_accelerators=rng.choice((0, 8, 24)))
        for customer in old.customers
    )
    site.configure(
        attrs.evolve(old, version=old.version + 1, queues=used + idle, customers=customers)
    )


async def _lose_answers(site: Emulator) -> None:
    """Lose the answers to the next appends of all entries, or carry some out late."""
    await asyncio.sleep(site.rng.uniform(0.2, FAULT_S / 2))
    if site.rng.random() < LATE_SHARE:
        site.store.faults[""] = StoreFault.WRITES_LATE
        await asyncio.sleep(site.rng.uniform(0.05, 0.5))
        site.store.faults.pop("", None)
    else:
        topic = site.rng.choice(("control", "jobs"))
        site.store.lost_answers[topic] = site.rng.randint(1, 2)


async def _leave_orders_unanswered(site: Emulator) -> None:
    kinds = (VmFault.DELAYS_ORDERS, VmFault.LOSES_START_ANSWERS)
    vms = [name for name in _pick_vms(site) if site.vms[name].fault is VmFault.NONE]
    for name in vms:
        site.vms[name].fault = site.rng.choice(kinds)
    fault_s = site.rng.uniform(0.5, FAULT_S)
    site.checker.excuse_gangs(fault_s)
    await asyncio.sleep(fault_s)
    for name in vms:
        if site.vms[name].fault in kinds:
            site.vms[name].fault = VmFault.NONE
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _restart_processes(site: Emulator) -> None:
    """Restart the owner, often gracefully, and some agents at the same time."""
    names = [name for name in (site.owner_name(), *_pick_vms(site)) if name in site.processes]
    if site.rng.random() < GRACEFUL_SHARE and names and names[0] in site.entry_names:
        site.entry(names[0]).election.leaving = True
        await asyncio.sleep(HAND_OVER_S)
    site.checker.excuse_gangs(RESTART_S)
    for name in names:
        await site.kill(name)
    await asyncio.sleep(RESTART_S)
    for name in names:
        site.start_process(name)
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _isolate(site: Emulator) -> None:
    """Cut off the owner, or another entry, with some VMs."""
    entry = site.owner_name() if site.rng.random() < OWNER_SHARE else None
    site.isolate([entry or site.rng.choice(site.entry_names), *_pick_vms(site)])
    cut_s = site.rng.uniform(1.0, ISOLATION_LIMIT_S)
    site.checker.excuse_gangs(cut_s)
    await asyncio.sleep(cut_s)
    site.reconnect_all()
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _remove_queue(site: Emulator) -> None:
    """Remove a queue with jobs from the configuration, and add it again."""
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))
    queue = site.rng.choice([each for each in site.configuration.queues if each.name in site.terms])
    others = tuple(each for each in site.configuration.queues if each.name != queue.name)
    site.configure(
        attrs.evolve(site.configuration, version=site.configuration.version + 1, queues=others)
    )
    await asyncio.sleep(site.rng.uniform(0.0, 2 * FAULT_S))
    queues = (*site.configuration.queues, queue)
    site.configure(
        attrs.evolve(site.configuration, version=site.configuration.version + 1, queues=queues)
    )


async def _describe_another_worker(site: Emulator) -> None:
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))
    vm = site.vms[site.rng.choice(list(site.vms))]
    another = msgspec.structs.replace(vm.state, incarnation=f"{vm.vm_id}/another")
    vm.registration.update(another, ANOTHER_START_MS, site.rng.randint(1, 10))


async def _fail_topic(site: Emulator) -> None:
    """Let a topic refuse all calls; kill the owner and some agents shortly before it is back."""
    topic = site.rng.choice(("jobs", "jobs", "starts", "control"))
    site.store.refusing_topics.add(topic)
    await asyncio.sleep(site.rng.uniform(1.0, TOPIC_FAULT_S))
    names = [name for name in (site.owner_name(), *_pick_vms(site)) if name in site.processes]
    site.checker.excuse_gangs(RESTART_S)
    for name in names:
        await site.kill(name)
    await asyncio.sleep(site.rng.uniform(0.0, 0.3))
    site.store.refusing_topics.discard(topic)
    await asyncio.sleep(RESTART_S)
    for name in names:
        site.start_process(name)
    await asyncio.sleep(site.rng.uniform(0.0, FAULT_S))


async def _restart_workers(site: Emulator) -> None:
    """Leave orders unanswered, and crash the workers before they have carried them out."""
    names = [name for name in _pick_vms(site) if site.vms[name].fault is VmFault.NONE]
    for name in names:
        site.vms[name].fault = VmFault.DELAYS_ORDERS
    site.checker.excuse_gangs(ORDER_DELAY_S)
    await asyncio.sleep(site.rng.uniform(0.3, 1.5))
    for name in names:
        if site.vms[name].fault is VmFault.DELAYS_ORDERS:
            site.vms[name].fault = VmFault.NONE
    await asyncio.sleep(site.rng.uniform(0.2, 1.0))
    for name in names:
        site.vms[name].kill()
    await asyncio.sleep(site.rng.uniform(0.2, 1.0))
    for name in names:
        site.vms[name].restart(keep_instance=True)
    await asyncio.sleep(site.rng.uniform(ORDER_DELAY_S, ORDER_DELAY_S + FAULT_S))


async def _change_during_takeover(site: Emulator) -> None:
    """Kill the owner, and change the configuration once or twice while the next one loads."""
    await asyncio.sleep(site.rng.uniform(0.5, FAULT_S))
    owner = site.owner_name()
    if owner is None:
        return
    site.checker.excuse_gangs(RESTART_S)
    await site.kill(owner)
    until_s = loop_time() + 2 * RESTART_S
    while loop_time() < until_s and not is_loading(site):
        await asyncio.sleep(TAKEOVER_POLL_S)
    for _ in range(site.rng.randint(1, 2)):
        _configure_anew(site)
        await asyncio.sleep(TAKEOVER_POLL_S)
    await asyncio.sleep(RESTART_S)
    site.check_configuration()
    site.start_process(owner)


def _pick_vms(site: Emulator) -> list[str]:
    return site.rng.sample(list(site.vms), k=max(1, int(FAULTY_SHARE * len(site.vms))))
