"""The commands of the operations page trace a refused, delayed or failed job to its cause."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys
from pathlib import Path

import pytest

from briardeal_standins.emulator import StoreFault, TaskBehavior
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
ROOT = PAGE.parents[1]
JOB_ID = re.compile(r"\b[0-9a-f]{16}\b")
PROGRAMS = ("grep ", "briardeal ")
BRIARDEAL = f"{sys.executable} -m briardeal "


def commands_of(heading: str) -> list[str]:
    """Return the commands of one section of the page."""
    section = PAGE.read_text().partition(f"### {heading}\n")[2].partition("\n## ")[0]
    section = section.partition("\n### ")[0]
    assert section, heading
    lines = (line.strip() for line in section.splitlines() if line.startswith("    "))
    return [line for line in lines if line.startswith(PROGRAMS)]


def run_commands(heading: str, job_id: str, lines: list[str], folder: Path) -> list[str]:
    """Run the commands of one section on log lines and return the output of each."""
    logs: dict[str, list[str]] = {}
    for line in lines:
        logs.setdefault(line.split()[1], []).append(line)
    for vm, vm_lines in logs.items():
        (folder / f"{vm}.log").write_text("\n".join(vm_lines) + "\n")
    log_files = " ".join(str(folder / f"{vm}.log") for vm in sorted(logs))
    outputs = []
    for command in commands_of(heading):
        shell_command = (
            JOB_ID.sub(job_id, command).replace("LOGS", log_files).replace("JOB", job_id)
        )
        if shell_command.startswith("briardeal "):
            files = " ".join(f"--log {name}" for name in log_files.split())
            shell_command = f"{BRIARDEAL}explain {job_id} {files}"
        process = subprocess.run(  # noqa: S602
            shell_command, shell=True, cwd=ROOT, capture_output=True, text=True, check=False
        )
        assert not process.stderr, (shell_command, process.stderr)
        outputs.append(process.stdout)
    assert len(outputs) >= 2, "the section has too few commands"
    return outputs


async def test_commands_trace_refused_job_to_store_outage(tmp_path):
    async with run_site() as site:
        site.store.faults[""] = StoreFault.REFUSES
        job = make_job()
        await asyncio.sleep(1.0)
        assert not await site.submit(job, TaskBehavior(1.0), "entry-0")
        site.store.faults.clear()
        await asyncio.sleep(5.0)
    outputs = run_commands("A job that was refused", job.job_id, site.logs.lines, tmp_path)
    assert '"message_type":"job_refused"' in outputs[0]
    assert '"run_state":"not_run"' in outputs[0]
    assert all(name in outputs[1] for name in site.entry_names)
    assert "Cause: log_unavailable" in outputs[-1]
    assert "the store failed on entry-0, entry-1, entry-2" in outputs[-1]


async def test_commands_trace_delayed_job_to_lost_vm(tmp_path):
    async with run_site() as site:
        job = make_job(whole_vm_step(1))
        await site.submit(job, TaskBehavior(8.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        lost_vm = next(name for name, vm in site.vms.items() if vm.attempts)
        await site.kill(lost_vm)
        await site.wait_for_state(job.job_id, "completed", 20.0)
    outputs = run_commands(
        "A job that was accepted and came late", job.job_id, site.logs.lines, tmp_path
    )
    assert outputs[0].count('"message_type":"task_ordered"') == 2
    assert '"message_type":"agent_expired"' in outputs[1]
    assert f'"vm":"{lost_vm}"' in outputs[1]
    assert f"{lost_vm} was lost (agent_expired)" in outputs[-1]


async def test_commands_trace_delayed_job_to_change_of_owners(tmp_path):
    async with run_site() as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.entry_names if name != owner)
        await site.kill(owner)
        job = make_job()
        await site.submit(job, TaskBehavior(1.0), other)
        await site.wait_for_state(job.job_id, "completed", 20.0)
    outputs = run_commands(
        "A job that was accepted and came late", job.job_id, site.logs.lines, tmp_path
    )
    claims = [line for line in outputs[1].splitlines() if "owner_claims" in line]
    assert len(claims) >= 2


async def test_commands_trace_failed_job_to_the_job_itself(tmp_path):
    async with run_site() as site:
        job = make_job(small_step(1))
        await site.submit(job, TaskBehavior(0.5, failures=10))
        await site.wait_for_state(job.job_id, "failed", 20.0)
        completed_job = make_job(small_step(4))
        await site.submit(completed_job, TaskBehavior(0.5))
        await site.wait_for_state(completed_job.job_id, "completed", 20.0)
    outputs = run_commands("A job that has failed", job.job_id, site.logs.lines, tmp_path)
    assert '"message_type":"job_ended"' in outputs[0]
    assert outputs[0].count('"end":"failed"') >= 3
    counts = [line.split()[0] for line in outputs[1].splitlines()]
    assert sum(map(int, counts)) >= 3
    assert "no other job failed there, which points at the job" in outputs[-1]
