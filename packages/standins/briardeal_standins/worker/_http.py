"""HTTP API of a stand-in worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from briardeal_agent.workers import PlatformTask, WorkerUnavailable
from briardeal_protocol.messages import StopMode

if TYPE_CHECKING:
    from briardeal_agent.workers import Worker


def create_worker_app(worker: Worker) -> web.Application:
    """Return an application that serves the API of a worker."""
    handlers = WorkerHandlers(worker)
    app = web.Application()
    app.add_routes(
        [
            web.get("/v1/tasks", handlers.tasks),
            web.put("/v1/tasks/{task_id}", handlers.start),
            web.post("/v1/tasks/{task_id}/lease", handlers.renew),
            web.post("/v1/tasks/{task_id}/{mode}", handlers.stop),
        ]
    )
    return app


class WorkerHandlers:
    """HTTP handlers of one worker.

    Parameters
    ----------
    worker
        Worker that handles the calls.
    """

    def __init__(self, worker: Worker) -> None:
        self.worker = worker

    async def tasks(self, request: web.Request) -> web.Response:
        """Return all tasks."""
        return _reply(await self.worker.tasks())

    async def start(self, request: web.Request) -> web.Response:
        """Start a task under a lease."""
        task = msgspec.json.decode(await request.read(), type=PlatformTask)
        return _reply(await self.worker.start(task, float(request.query["lease_s"])))

    async def renew(self, request: web.Request) -> web.Response:
        """Renew the lease of a task."""
        task_id = request.match_info["task_id"]
        return _reply(await self.worker.renew(task_id, float(request.query["lease_s"])))

    async def stop(self, request: web.Request) -> web.Response:
        """Stop, checkpoint or throttle a task."""
        mode = StopMode(request.match_info["mode"])
        return _reply(await self.worker.stop(request.match_info["task_id"], mode))


def _reply(outcome: object) -> web.Response:
    status = 503 if isinstance(outcome, WorkerUnavailable) else 200
    body = msgspec.json.encode([] if outcome is None else outcome)
    return web.Response(body=body, status=status, content_type="application/json")
