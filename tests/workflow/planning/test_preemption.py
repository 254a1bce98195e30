"""Urgent work takes VMs from others, as far as guarantees and gains allow."""

from __future__ import annotations

from briardeal_workflow.planning import End, StopTask
from tests.workflow.planning.site import Site
from tests.workflow.samples import small_step, whole_vm_step


def test_urgent_work_within_its_guarantee_stops_what_loses_least():
    site = Site(vms=2)
    site.submit(whole_vm_step(), customer="south")
    old = site.starts()
    site.run(old)
    site.now_s = 4.0
    site.run(old, percent=30)
    site.submit(whole_vm_step(), customer="south")
    young = site.starts()
    site.run(young)
    site.submit(whole_vm_step(), queue="urgent", customer="north")
    assert site.decide() == []
    assert site.decide(after_s=0.5) == []
    stops = site.decide(after_s=0.2)
    assert [stop.task for stop in stops] == [young[0].task]
    site.end(young[0], End.STOPPED)
    assert [start.task.job_id for start in site.starts()] != []


def test_urgent_work_outside_its_guarantee_stops_no_more_work_than_it_brings():
    site = Site(vms=1)
    site.submit(whole_vm_step(estimate_s=100.0), customer="south")
    starts = site.starts()
    site.run(starts)
    site.now_s = 20.0
    site.run(starts, percent=20)
    site.submit(whole_vm_step(estimate_s=5.0), queue="urgent", customer="nobody")
    assert site.decide_twice() == []
    site.submit(whole_vm_step(estimate_s=60.0), queue="urgent", customer="nobody")
    assert [type(order) for order in site.decide_twice()] == [StopTask]


def test_urgent_work_of_others_is_stopped_only_beyond_their_guarantee():
    site = Site(vms=3)
    site.submit(whole_vm_step(3), queue="urgent", customer="south")
    site.run(site.starts())
    site.submit(whole_vm_step(1), queue="urgent", customer="north")
    assert site.decide_twice() == []
    site = Site(vms=4)
    site.submit(whole_vm_step(4), queue="urgent", customer="south")
    site.run(site.starts())
    site.submit(whole_vm_step(1), queue="urgent", customer="north")
    assert [type(order) for order in site.decide_twice()] == [StopTask]


def test_a_gang_is_stopped_whole():
    site = Site(vms=2)
    site.submit(whole_vm_step(2, gang=True), customer="south")
    site.run(site.starts())
    site.submit(whole_vm_step(1), queue="urgent", customer="north")
    assert len(site.decide_twice()) == 2


def test_urgent_work_for_which_others_made_room_is_not_the_first_to_be_stopped():
    site = Site(vms=2)
    site.submit(whole_vm_step(2), customer="south")
    bulk = site.starts()
    site.run(bulk)
    site.decide(after_s=3.0)
    site.submit(whole_vm_step(1, estimate_s=30.0), queue="urgent", customer="nobody")
    (stop,) = site.decide_twice()
    site.end(stop, End.STOPPED)
    (urgent,) = site.starts()
    site.run([urgent])
    site.submit(whole_vm_step(1), queue="urgent", customer="north")
    (stop,) = site.decide_twice()
    assert stop.task.job_id == bulk[0].task.job_id


def test_urgent_work_outside_its_guarantee_stops_others_no_more_than_it_brings_in_all():
    site = Site(vms=2)
    site.submit(whole_vm_step(1, estimate_s=100.0), customer="south")
    site.submit(whole_vm_step(1, estimate_s=100.0), customer="south")
    bulk = site.starts()
    site.run(bulk)
    site.decide(after_s=4.0)
    site.run(bulk, percent=10)
    urgent = site.submit(whole_vm_step(1, estimate_s=9.0), queue="urgent", customer="nobody")
    stops = 0
    for percent in (20, 30, 40, 50):
        for stop in [each for each in site.decide_twice() if isinstance(each, StopTask)]:
            assert stop.task.job_id != urgent.job_id
            stops += 1
            # The VM that was made free is lost before the urgent task starts there.
            site.end(stop, End.STOPPED)
            site.planner.drop_vm(stop.vm_id, site.now_s)
            site.add_vm(int(stop.vm_id[-1]), incarnation=str(stops + 1), leaving=True)
        site.run([each for each in bulk if each.vm_id in site.running_vms()], percent=percent)
    assert stops == 1


def test_small_tasks_do_not_keep_urgent_work_of_whole_vms_out():
    site = Site(vms=3)
    site.submit(small_step(500, estimate_s=16.0))
    running = site.starts()
    assert len(running) == 24
    urgent = site.submit(whole_vm_step(1, estimate_s=0.5), queue="urgent", customer="nobody")
    for second in range(16):
        # Tasks end in the order of their starts, and others wait for their room.
        for start in running[:2]:
            site.end(start, End.DONE)
        running = running[2:] + site.starts(after_s=1.0)
        site.run(running, percent=second)
        if any(start.task.job_id == urgent.job_id for start in running):
            break
    # A VM is empty after eight ends; the one that is soonest is chosen.
    assert second < 8


def test_vms_kept_for_an_urgent_job_are_given_up_when_it_is_cancelled():
    site = Site(vms=1)
    site.submit(small_step(8, estimate_s=16.0))
    running = site.starts()
    site.run(running)
    urgent = site.submit(whole_vm_step(1, estimate_s=0.1), queue="urgent", customer="nobody")
    assert site.decide_twice() == []
    site.submit(small_step(1))
    site.end(running[0], End.DONE)
    assert site.starts() == []
    site.planner.cancel(urgent.job_id)
    assert len(site.starts(after_s=1.0)) == 1
