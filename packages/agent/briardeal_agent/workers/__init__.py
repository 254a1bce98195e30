"""The worker platform's API on the agent's VM."""

from briardeal_agent.workers._http import HttpWorker
from briardeal_agent.workers._worker import PlatformTask, Worker, WorkerUnavailable

__all__ = ["HttpWorker", "PlatformTask", "Worker", "WorkerUnavailable"]
