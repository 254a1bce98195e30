"""The stand-in worker over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from briardeal_agent.workers import PlatformTask, WorkerUnavailable
from briardeal_protocol.messages import StopMode

if TYPE_CHECKING:
    from briardeal_agent.workers import Worker


def create_worker_app(worker: Worker) -> web.Application:
    """Return an application that serves one worker's API."""
    routes = WorkerRoutes(worker)
    app = web.Application()
    app.add_routes(
        [
            web.get("/v1/tasks", routes.tasks),
            web.put("/v1/tasks/{task_id}", routes.start),
            web.post("/v1/tasks/{task_id}/lease", routes.renew),
            web.post("/v1/tasks/{task_id}/{mode}", routes.stop),
        ]
    )
    return app


class WorkerRoutes:
    """Routes of one worker.

    Parameters
    ----------
    worker
        The worker.
    """

    def __init__(self, worker: Worker) -> None:
        self.worker = worker

    async def tasks(self, http: web.Request) -> web.Response:
        """Return all tasks."""
        return _reply(await self.worker.tasks())

    async def start(self, http: web.Request) -> web.Response:
        """Start a task."""
        task = msgspec.json.decode(await http.read(), type=PlatformTask)
        return _reply(await self.worker.start(task, float(http.query["lease_s"])))

    async def renew(self, http: web.Request) -> web.Response:
        """Renew a lease."""
        task_id = http.match_info["task_id"]
        return _reply(await self.worker.renew(task_id, float(http.query["lease_s"])))

    async def stop(self, http: web.Request) -> web.Response:
        """Stop, checkpoint or throttle a task."""
        mode = StopMode(http.match_info["mode"])
        return _reply(await self.worker.stop(http.match_info["task_id"], mode))


def _reply(outcome: object) -> web.Response:
    status = 503 if isinstance(outcome, WorkerUnavailable) else 200
    body = msgspec.json.encode([] if outcome is None else outcome)
    return web.Response(body=body, status=status, content_type="application/json")
