"""Jobs restored from their stored progress."""

from __future__ import annotations

from briardeal_workflow.job_table import Progress
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
