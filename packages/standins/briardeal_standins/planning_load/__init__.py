"""Load on the planner alone: random jobs, and what becomes of them on virtual time."""

from briardeal_standins.planning_load._admission import AdmissionReport, AdmittingSimulation
from briardeal_standins.planning_load._report import ClassReport, EarliestObjective, simulate
from briardeal_standins.planning_load._simulation import JobResult, Simulation
from briardeal_standins.planning_load._speeds import SlowSpell, VmSpeeds
from briardeal_standins.planning_load._workload import (
    CONFIGURATION,
    LARGE_FLEET,
    SMALL_FLEET,
    Fleet,
    OfferedJob,
    create_workload,
)

__all__ = [
    "AdmissionReport",
    "AdmittingSimulation",
    "CONFIGURATION",
    "ClassReport",
    "EarliestObjective",
    "Fleet",
    "JobResult",
    "LARGE_FLEET",
    "OfferedJob",
    "SMALL_FLEET",
    "Simulation",
    "SlowSpell",
    "VmSpeeds",
    "create_workload",
    "simulate",
]
