"""Stand-in for the API of the platform on a worker."""

from briardeal_standins.worker._http import create_worker_app
from briardeal_standins.worker._worker import StandinWorker

__all__ = ["StandinWorker", "create_worker_app"]
