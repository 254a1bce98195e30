"""Jobs restored from their stored progress."""

from __future__ import annotations

import pytest

from briardeal_workflow.job_table import Progress
from briardeal_workflow.model import TaskId
from briardeal_workflow.planning import AttemptOutcome
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step


def test_progress_of_steps_that_the_job_has_not_is_ignored():
    harness = PlannerHarness()
    progress = Progress(
        done=((0, 0, 0), (0, 7, 0)),
        failures=((0, 7, 0, 1, 1),),
        checkpoints=((3, 0, 0, "5.0"),),
        preemptions=((0, 7, 0, 1, 10),),
    )
    harness.submit(small_step(2), progress=progress)
    assert [start.task.index for start in harness.start_orders()] == [1]


@pytest.mark.parametrize("stored", [True, False])
def test_stored_failures_count_once_when_they_are_reported_again(stored):
    harness = PlannerHarness(epoch=3)
    failed_numbers = ((0, 0, 0, (1, 1001)),) if stored else ()
    progress = Progress(failures=((0, 0, 0, 2, 1001),), failed_numbers=failed_numbers)
    job = harness.submit(small_step(), progress=progress)
    for number in (1001, 1) if stored else (1001,):
        harness.planner.record_outcome(
            "vm-0", TaskId(job.job_id, 0, 0, 0), number, AttemptOutcome.FAILED, "", 0.0
        )
    assert len(harness.start_orders()) == 1
    assert harness.planner.state.active_jobs[job.job_id].progress().failures == progress.failures
