"""The agent process beside an endpoint or a worker."""
