"""The platform's API for tasks over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_agent.workers._worker import PlatformTask, WorkerUnavailable
from briardeal_core.http import HttpFailure, fetch

if TYPE_CHECKING:
    from briardeal_protocol.messages import StopMode

TIMEOUT_S = 2.0


class HttpWorker:
    """Client of the platform's API for tasks on one worker.

    Parameters
    ----------
    address
        `IP:PORT` of the platform's API on this VM.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    async def start(self, task: PlatformTask, lease_s: float) -> WorkerUnavailable | None:
        """Start a task, at most once for each ID."""
        path = f"/v1/tasks/{task.task_id}?lease_s={lease_s}"
        return _failure_or_none(await self._send("PUT", path, msgspec.json.encode(task)))

    async def renew(self, task_id: str, lease_s: float) -> WorkerUnavailable | None:
        """Renew the lease of a task."""
        return _failure_or_none(
            await self._send("POST", f"/v1/tasks/{task_id}/lease?lease_s={lease_s}")
        )

    async def stop(self, task_id: str, mode: StopMode) -> WorkerUnavailable | None:
        """Stop, checkpoint or throttle a task."""
        return _failure_or_none(await self._send("POST", f"/v1/tasks/{task_id}/{mode.value}"))

    async def tasks(self) -> list[PlatformTask] | WorkerUnavailable:
        """Return all tasks."""
        body = await self._send("GET", "/v1/tasks")
        if isinstance(body, WorkerUnavailable):
            return body
        try:
            return msgspec.json.decode(body, type=list[PlatformTask])
        except msgspec.DecodeError as error:
            return WorkerUnavailable(f"unreadable list of tasks: {error}")

    async def _send(self, method: str, path: str, body: bytes = b"") -> bytes | WorkerUnavailable:
        reply = await fetch(method, self.address, path, body, timeout_s=TIMEOUT_S)
        if isinstance(reply, HttpFailure):
            return WorkerUnavailable(reply.detail)
        if reply.status >= 400:
            return WorkerUnavailable(f"status {reply.status}")
        return reply.body


def _failure_or_none(outcome: bytes | WorkerUnavailable) -> WorkerUnavailable | None:
    return outcome if isinstance(outcome, WorkerUnavailable) else None
