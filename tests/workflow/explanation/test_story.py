"""Explanations from log lines."""

from __future__ import annotations

import msgspec
from click.testing import CliRunner

from briardeal.__main__ import cli
from briardeal_core.events import Event
from briardeal_workflow.explanation import explain_job, read_log

JOB = "00000000000000a1"
OTHER = "00000000000000b2"


def write(time_s: float, where: str, event: Event, **fields: object) -> str:
    """Return a log line as the collector keeps it."""
    line = {"message_type": event.name.lower(), "event": event.number, **fields}
    return f"{time_s:.2f} {where} {msgspec.json.encode(line).decode()}"


def accepted(time_s: float = 1.0, job_id: str = JOB) -> str:
    return write(
        time_s, "front", Event.JOB_ACCEPTED, job_id=job_id, queue="q", customer="c", tasks=1
    )


def ordered(time_s: float, vm: str, job_id: str = JOB, number: int = 1) -> str:
    return write(
        time_s,
        "front",
        Event.TASK_ORDERED,
        job_id=job_id,
        task=f"{job_id}.0.0.0",
        number=number,
        vm=vm,
        cause="room",
    )


def ended(time_s: float, vm: str, end: str, job_id: str = JOB) -> str:
    task = f"{job_id}.0.0.0"
    return write(time_s, "front", Event.TASK_ENDED, task=task, number=1, vm=vm, end=end)


def explain(*lines: str) -> list[str]:
    return explain_job(read_log(lines), JOB)


def test_lines_come_in_the_order_of_their_time():
    told = explain(ordered(1.2, "side"), accepted(1.0))
    assert told[0].startswith("1.00 front: accepted")
    assert told[1].startswith("1.20 front: start 1")


def test_lines_of_a_process_alone_have_their_own_time():
    line = msgspec.json.encode(
        {"message_type": "job_cancelled", "event": 425, "job_id": JOB, "timestamp": 12.5}
    )
    (found,) = read_log([line.decode()]).lines
    assert (found.time_s, found.vm, found.event) == (12.5, "", Event.JOB_CANCELLED)


def test_a_job_whose_name_begins_like_another_is_not_taken_for_it():
    told = explain(accepted(), ordered(1.1, "side", job_id=JOB + "0"))
    assert len(told) == 2


def test_lines_that_cannot_be_read_are_counted():
    told = explain(accepted(), "garbage", '3.0 front {"message_type":"no_such_event"}')
    assert told[-1] == "2 lines could not be read."


def test_a_line_of_another_version_is_told_with_its_fields():
    told = explain(write(1.0, "front", Event.TASK_ORDERED, job_id=JOB, place="side"))
    assert told[0] == "1.00 front: task ordered: place side"


def test_a_job_that_no_line_names_is_said_to_be_so():
    assert explain(accepted(job_id=OTHER)) == [f"No line names job {JOB}."]


def test_a_refusal_while_the_store_fails_one_entry_is_told_from_an_outage():
    refused = write(
        5.0,
        "front-1",
        Event.JOB_REFUSED,
        job_id=JOB,
        reason="log_unavailable",
        run_state="not_run",
        detail="timeout",
    )
    alone = write(3.0, "front-1", Event.STORE_DETOUR, detail="timeout")
    other = write(3.5, "front-2", Event.LOG_UNAVAILABLE, topic="jobs", detail="timeout")
    assert explain(refused, alone)[-1].endswith("the store failed front-1 alone.")
    assert explain(refused, alone, other)[-1].endswith("the store failed front-1, front-2.")
    assert explain(refused)[-1] == "Cause: log_unavailable (timeout)."


def test_a_call_refused_before_it_was_a_job_is_found_by_its_path():
    line = write(
        2.0,
        "front",
        Event.REQUEST_REFUSED,
        method="POST",
        path=f"/q/{JOB}?x=1",
        status=401,
        detail="unknown key",
    )
    assert explain(line)[-1] == "Cause: 401 (unknown key)."


def test_a_delay_is_put_down_to_the_vm_that_was_lost():
    told = explain(
        accepted(),
        ordered(1.1, "side-1"),
        write(6.0, "front", Event.AGENT_EXPIRED, vm="side-2", tasks=1),
        write(7.0, "front", Event.AGENT_EXPIRED, vm="side-1", tasks=1),
        ordered(7.1, "side-2", number=2),
    )
    assert told[-1] == "Cause: 6.0 s lost: side-1 was lost (agent_expired), and its work with it."


def test_a_delay_is_put_down_to_a_restart_of_most_vms():
    started = [
        write(3.0, vm, Event.PROCESS_STARTED, node=vm) for vm in ("front", "side-1", "side-2")
    ]
    claimed = write(3.1, "front", Event.OWNER_CLAIMS, epoch=2, cause="owner was restarted")
    told = explain(accepted(), ordered(1.1, "side-1"), *started, claimed, ordered(4.0, "side-2"))
    assert told[-1] == "Cause: 2.9 s lost: 3 of 3 VMs were restarted."


def test_a_delay_is_put_down_to_the_change_of_owners():
    told = explain(
        accepted(),
        write(2.0, "front-2", Event.OWNER_CLAIMS, epoch=2, cause="owner is silent"),
        write(2.1, "front-2", Event.OWNER_STARTED, epoch=2, jobs=3),
        ordered(4.0, "side-1"),
    )
    assert told[-1] == "Cause: 3.0 s lost: the owner was replaced (owner is silent)."
    assert any("epoch 2" in sentence for sentence in told)


def test_a_long_delay_is_not_put_down_to_a_change_of_owners_long_before():
    told = explain(
        accepted(),
        write(2.0, "front-2", Event.OWNER_CLAIMS, epoch=2, cause="owner is gone"),
        ordered(3.0, "side-1", job_id=OTHER),
        ordered(30.0, "side-1"),
    )
    assert told[-1] == "Cause: 29.0 s lost: there was no room; 1 starts were ordered meanwhile."


def test_a_delay_without_trouble_is_put_down_to_room():
    told = explain(accepted(), ordered(2.0, "side-1", job_id=OTHER), ordered(4.0, "side-1"))
    assert told[-1] == "Cause: 3.0 s lost: there was no room; 1 starts were ordered meanwhile."


def test_the_run_of_a_task_is_no_delay():
    told = explain(accepted(), ordered(1.1, "side-1"), ended(20.0, "side-1", "done"))
    assert told[-1] == "Cause: nothing delayed it."


def test_a_start_that_made_room_is_named_as_the_cause():
    stopped = write(
        3.0,
        "front",
        Event.TASK_STOPPED,
        job_id=JOB,
        task=f"{JOB}.0.0.0",
        number=1,
        vm="side-1",
        cause=f"makes room for {OTHER}",
    )
    told = explain(accepted(), ordered(1.1, "side-1"), stopped, ordered(9.0, "side-2", number=2))
    assert told[-1] == f"Cause: 7.9 s lost: it was stopped: makes room for {OTHER}."


def test_a_failure_is_put_down_to_the_vms_where_other_jobs_fail_there():
    failed = write(
        6.0,
        "front",
        Event.JOB_ENDED,
        job_id=JOB,
        state="failed",
        cause="task failed 3 times",
        vms=["side-1"],
    )
    alone = explain(accepted(), ended(3.0, "side-1", "failed"), failed)
    assert alone[-1].endswith("no other job failed there, which points at the job.")
    told = explain(accepted(), ended(2.0, "side-1", "failed", job_id=OTHER), failed)
    assert told[-1].endswith("other jobs failed there 1 times, which points at the VMs.")


def test_a_long_pause_tells_a_bounded_number_of_lines():
    trouble = [
        write(2.0 + n / 100, "front", Event.STORE_DETOUR, detail="timeout") for n in range(50)
    ]
    told = explain(accepted(), *trouble, ordered(9.0, "side-1"))
    assert len(told) < 15
    assert any("42 more lines" in sentence for sentence in told)


def test_the_command_line_reads_log_files(tmp_path):
    first, second = tmp_path / "front.log", tmp_path / "side.log"
    first.write_text(accepted() + "\n")
    second.write_text(write(2.0, "front", Event.JOB_CANCELLED, job_id=JOB) + "\n")
    result = CliRunner().invoke(cli, ["explain", JOB, "--log", str(first), "--log", str(second)])
    assert result.exit_code == 0, result.output
    assert result.output.splitlines()[-1] == "Cause: its caller cancelled it."
