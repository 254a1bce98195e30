"""HTTP client of the log service, built on aiohttp."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from briardeal_core.log._model import Appended, EntryBatch, LogUnavailable, PastRetention
from briardeal_core.log.client._wire import AppendedBody, BatchBody, PastRetentionBody

REQUEST_TIMEOUT_S = 2.0
"""Timeout of one append, and of one read in addition to its wait time."""

T = TypeVar("T")


class HttpLog:
    """HTTP client of the log service.

    Parameters
    ----------
    base_url
        Address of the service, such as `http://10.0.0.7:9000`.
    timeout_s
        Timeout of one append, and of one read in addition to its wait time, in seconds.
    """

    def __init__(self, base_url: str, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self.base_url = base_url.rstrip("/")
        self.timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, record: bytes, append_id: str) -> Appended | LogUnavailable:
        """Append one record to a stream."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        request = self._open_session().post(
            self._records_url(stream), params={"id": append_id}, data=record, timeout=timeout
        )
        try:
            async with request as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return LogUnavailable(str(error))
        except (aiohttp.ClientError, TimeoutError) as error:
            return LogUnavailable(f"{type(error).__name__}: {error}", maybe_written=True)
        if response.status != HTTPStatus.OK:
            return _rejected_append(response.status)
        answer = _decode(body, AppendedBody)
        if isinstance(answer, LogUnavailable):
            return LogUnavailable(answer.detail, maybe_written=True)
        return Appended(answer.offset, answer.appended_at_s)

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float = 0.0
    ) -> EntryBatch | PastRetention | LogUnavailable:
        """Read up to `limit` entries, waiting up to `wait_s` seconds for the first."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s + wait_s)
        params = {"offset": str(offset), "limit": str(limit), "wait": str(wait_s)}
        request = self._open_session().get(
            self._records_url(stream), params=params, timeout=timeout
        )
        try:
            async with request as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return LogUnavailable(f"{type(error).__name__}: {error}")
        if response.status == HTTPStatus.GONE:
            expired = _decode(body, PastRetentionBody)
            if isinstance(expired, LogUnavailable):
                return expired
            return PastRetention(expired.oldest_offset, expired.end_offset)
        if response.status != HTTPStatus.OK:
            return LogUnavailable(f"status {response.status}")
        batch = _decode(body, BatchBody)
        if isinstance(batch, LogUnavailable):
            return batch
        return EntryBatch(batch.entries, batch.next_offset, batch.end_offset)

    async def close(self) -> None:
        """Close all connections to the log."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    def _records_url(self, stream: str) -> str:
        return f"{self.base_url}/streams/{stream}/records"


def _rejected_append(status: int) -> LogUnavailable:
    """Return the failure for an error status.

    With a 4xx status and 503 the log guarantees that it has not stored the record.
    """
    client_error = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
    not_stored = client_error or status == HTTPStatus.SERVICE_UNAVAILABLE
    return LogUnavailable(f"status {status}", maybe_written=not not_stored)


def _decode(body: bytes, kind: type[T]) -> T | LogUnavailable:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        return LogUnavailable(f"response body can't be decoded: {error}")
