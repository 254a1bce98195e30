"""VMs that fail tasks get none for a while."""

from __future__ import annotations

import pytest

from briardeal_workflow.planning import End, StopTask
from tests.workflow.planning.site import Site
from tests.workflow.samples import small_step, whole_vm_step


def test_a_vm_that_fails_several_tasks_is_the_last_choice_for_a_while():
    site = Site(vms=2)
    site.submit(small_step(2))
    starts = site.starts()
    site.run(starts)
    for start in starts:
        site.end(start, End.FAILED)
    site.submit(small_step(1))
    assert starts[0].vm_id not in {start.vm_id for start in site.starts()}


def test_a_vm_that_fails_a_task_right_after_its_start_gets_no_work_for_a_while():
    site = Site(vms=2)
    site.submit(whole_vm_step())
    start = site.starts()[0]
    site.run([start])
    site.end(start, End.FAILED)
    site.submit(whole_vm_step(2))
    first = site.starts()
    assert {each.vm_id for each in first}.isdisjoint({start.vm_id})
    assert site.starts(after_s=5.5) == []
    assert {each.vm_id for each in site.starts(after_s=1.0)} == {start.vm_id}


def test_a_vm_that_turns_starts_down_as_unhealthy_gets_none_for_a_while():
    site = Site(vms=2)
    site.submit(small_step())
    start = site.starts()[0]
    site.planner.note_unhealthy(start.vm_id, site.now_s)
    site.end(start, End.REFUSED)
    (again,) = site.starts()
    assert again.vm_id != start.vm_id
    assert site.planner.state.works[start.task.job_id].progress().failures == ()


def test_a_vm_that_fails_again_gets_no_work_for_longer():
    site = Site(vms=2)
    pauses_s = []
    site.submit(whole_vm_step())
    site.starts()
    for _ in range(3):
        site.submit(whole_vm_step())
        start = site.starts(after_s=0.1)[0]
        site.run([start])
        site.end(start, End.FAILED)
        pauses_s.append(site.planner.state.vms[start.vm_id].distrusted_until_s - site.now_s)
        site.decide(after_s=pauses_s[-1] + 0.1)
        site.planner.cancel(start.task.job_id)
        for order in site.decide():
            if isinstance(order, StopTask):
                site.end(order, End.STOPPED)
    assert pauses_s == pytest.approx([6.0, 12.0, 24.0])


def test_a_job_that_fails_everywhere_right_away_takes_no_vms_from_others():
    site = Site(vms=3)
    site.submit(whole_vm_step(3))
    for start in site.starts():
        site.run([start])
        site.end(start, End.FAILED)
    trusted = [vm.is_trusted(site.now_s) for vm in site.planner.state.vms.values()]
    assert trusted.count(False) == 1


def test_a_job_that_fails_where_others_fail_too_is_not_to_blame():
    site = Site(vms=3)
    for _ in range(2):
        site.submit(small_step(1, accelerators=4))
    starts = site.starts()
    assert len({start.vm_id for start in starts}) == 1
    for start in starts:
        site.run([start])
        site.end(start, End.FAILED)
    again = site.starts()[0]
    site.run([again])
    site.end(again, End.FAILED)
    assert again.vm_id != starts[0].vm_id
    assert not site.planner.state.vms[again.vm_id].is_trusted(site.now_s)


def test_distrusted_vms_are_used_where_no_other_can_hold_a_task():
    site = Site(vms=1)
    site.submit(whole_vm_step())
    start = site.starts()[0]
    site.run([start])
    site.end(start, End.FAILED)
    assert len(site.starts()) == 1


def test_a_task_that_began_before_a_failure_says_nothing_for_its_vm():
    site = Site(vms=2)
    site.submit(small_step(2))
    starts = site.starts()
    site.run(starts)
    assert len({each.vm_id for each in starts}) == 1
    site.decide(after_s=0.5)
    site.end(starts[0], End.FAILED)
    site.end(starts[1], End.DONE)
    assert not site.planner.state.vms[starts[0].vm_id].is_trusted(site.now_s)
