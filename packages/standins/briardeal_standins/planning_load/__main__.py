"""Compares the planner's order of jobs with that of objectives alone under several loads."""

from __future__ import annotations

import click

from briardeal_standins.planning_load._report import EarliestObjective, simulate
from briardeal_standins.planning_load._workload import LARGE_FLEET, SMALL_FLEET
from briardeal_workflow.planning import LeastWorkFirst


@click.command()
@click.option("--seeds", default=12, show_default=True, help="Number of workloads.")
@click.option("--large", is_flag=True, help="Use the large fleet instead of the small one.")
@click.option(
    "--load", "loads", multiple=True, default=(0.8, 1.0, 1.5, 2.0), help="Multiple of the capacity."
)
def main(seeds: int, large: bool, loads: tuple[float, ...]) -> None:
    """Print what becomes of the jobs of each class by load and order of jobs."""
    fleet = LARGE_FLEET if large else SMALL_FLEET
    click.echo(
        "load  order              class    jobs  in time  late  stopped  early  lost, core-s"
    )
    for load in loads:
        for job_order in (EarliestObjective(), LeastWorkFirst()):
            reports = simulate(job_order, range(seeds), load, fleet)
            for queue, report in reports.items():
                click.echo(
                    f"{load:<5} {type(job_order).__name__:18} {queue:8} {report.jobs:4}"
                    f"  {report.in_time / report.jobs:7.2f}  {report.late / report.jobs:4.2f}"
                    f"  {report.stops / max(1, report.starts):7.2f}"
                    f"  {report.early_stops / max(1, report.starts):5.2f}"
                    f"  {report.lost_core_s:11.0f}"
                )


if __name__ == "__main__":
    main()
