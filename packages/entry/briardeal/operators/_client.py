"""HTTP client for operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from briardeal.api import RefusalBody

if TYPE_CHECKING:
    from briardeal.operators._settings import OperatorSettings

CALL_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Refused:
    """Failure of a call.

    Parameters
    ----------
    reason
        Reason code.
    message
        Message to show to the operator.
    """

    reason: str
    message: str


class OperatorClient:
    """Calls the API of one entry over HTTP.

    Parameters
    ----------
    settings
        Address of the entry and name of the author.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self.settings = settings

    async def get(self, path: str) -> Any | Refused:
        """Return the decoded resource at a path."""
        return await self._call("GET", path)

    async def put(self, path: str, body: str) -> Any | Refused:
        """Replace the resource at a path."""
        return await self._call("PUT", path, body)

    async def delete(self, path: str) -> Any | Refused:
        """Delete the resource at a path."""
        return await self._call("DELETE", path)

    async def _call(self, method: str, path: str, body: str | None = None) -> Any | Refused:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        headers = {"Briardeal-Author": self.settings.author}
        url = f"http://{self.settings.entry}{path}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, url, data=body) as response,
            ):
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return Refused("entry_unreachable", f"The entry does not answer: {error}.")
        if response.status < 400:
            return msgspec.json.decode(content)
        return _read_refusal(content)


def _read_refusal(content: bytes) -> Refused:
    try:
        refusal = msgspec.json.decode(content, type=RefusalBody)
    except msgspec.DecodeError:
        return Refused("entry_unreachable", "The entry sent a response that can't be decoded.")
    return Refused(refusal.reason, refusal.message)
