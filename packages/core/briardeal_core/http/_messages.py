"""Requests and responses as handlers see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen
class Request:
    """A complete request.

    Parameters
    ----------
    method, path, body
        As received; the path includes the query.
    headers
        Header fields by name in lower case.
    """

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Reply:
    """A response.

    Parameters
    ----------
    status
        HTTP status code.
    body
        Content.
    content_type
        Media type of the content.
    headers
        Additional header fields.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
