"""Routes for jobs of customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from briardeal.api._replies import reply_json, reply_refusal
from briardeal.api._routes import Routes
from briardeal_core.jobs import JobRequest
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from briardeal.jobs import JobView


class JobBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body that describes one job.

    Parameters
    ----------
    job
        The submitted job.
    state
        Current state of the job.
    attempt
        Number of the newest attempt; 0 before the first.
    workers
        Workers of the newest attempt.
    why
        Sentence that explains the newest decision about the job.
    """

    job: JobRequest
    state: str
    attempt: int
    workers: tuple[str, ...]
    why: str


class ExplanationBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body that explains the decisions about one job.

    Parameters
    ----------
    job_id
        Identifier of the job.
    sentences
        Decisions and their reasons, oldest first.
    """

    job_id: str
    sentences: tuple[str, ...]


class JobRoutes(Routes):
    """Routes to submit, show, explain and cancel jobs."""

    def definitions(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post("/v1/jobs", self.submit),
            web.get("/v1/jobs", self.jobs),
            web.get("/v1/jobs/{job_id}", self.job),
            web.get("/v1/jobs/{job_id}/explanation", self.explanation),
            web.delete("/v1/jobs/{job_id}", self.cancel),
        ]

    async def submit(self, http: web.Request) -> web.Response:
        """Submit a job."""
        try:
            job = msgspec.json.decode(_clear_job_id(await http.read()), type=JobRequest)
        except msgspec.DecodeError as error:
            return self.refuse(Refusal(Reason.REQUEST_INVALID, RunState.NOT_RUN, None, f"{error}."))
        key = http.headers.get("Idempotency-Key", "")
        outcome = await self.entry.jobs.submit(job, key)
        if isinstance(outcome, Refusal):
            return reply_refusal(outcome)
        return reply_json(outcome, 201)

    async def jobs(self, http: web.Request) -> web.Response:
        """Return all jobs."""
        return reply_json([_describe_job(view) for view in self.entry.job_table.jobs.values()])

    async def job(self, http: web.Request) -> web.Response:
        """Return one job."""
        view = self.entry.job_table.jobs.get(http.match_info["job_id"])
        if view is None:
            return self.refuse(Refusal(Reason.JOB_UNKNOWN, RunState.NOT_RUN))
        return reply_json(_describe_job(view))

    async def explanation(self, http: web.Request) -> web.Response:
        """Return the decisions about a job and their reasons."""
        job_id = http.match_info["job_id"]
        sentences = self.entry.jobs.explain(job_id)
        if not sentences:
            return self.refuse(Refusal(Reason.JOB_UNKNOWN, RunState.NOT_RUN))
        return reply_json(ExplanationBody(job_id=job_id, sentences=tuple(sentences)))

    async def cancel(self, http: web.Request) -> web.Response:
        """Cancel a job."""
        outcome = await self.entry.jobs.cancel(http.match_info["job_id"])
        if isinstance(outcome, Refusal):
            return reply_refusal(outcome)
        return reply_json(_describe_job(outcome), 202)


def _clear_job_id(body: bytes) -> bytes:
    fields = msgspec.json.decode(body)
    if isinstance(fields, dict):
        fields["job_id"] = ""
    return msgspec.json.encode(fields)


def _describe_job(view: JobView) -> JobBody:
    return JobBody(
        job=view.job,
        state=view.state.value,
        attempt=view.attempt,
        workers=view.workers,
        why=view.why,
    )
