"""Size and limits of the target deployment, for which the system is designed."""

from __future__ import annotations

WORKERS = 630
ACCELERATORS = 1_400
JOBS_PER_DAY = 890
TASKS = 6_300
TEAMS = 130
CHANGES_PER_DAY = 420
REGIONS = 2
FAILURE_DOMAINS = 4
VMS_REPLACED_PER_DAY = 48

NODE_CPU_PERCENT = 1.6
NODE_MEMORY_MB = 32
NODE_BYTES_PER_S = 3_000
URGENT_START_S = 1.1
CONFIGURATION_S = 6.0

ENTRIES_PER_REGION = 3
"""Number of entries behind the load balancer of each region."""

DAY_S = 86_400
