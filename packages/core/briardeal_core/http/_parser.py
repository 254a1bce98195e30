"""Parsing of requests out of the pieces in which they arrive."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import httptools
import msgspec

from briardeal_core.http._limits import Refused
from briardeal_core.http._messages import Request

if TYPE_CHECKING:
    from briardeal_core.http._limits import HttpLimits

VERSIONS = ("1.0", "1.1")

FRAMING_FACTOR = 16
"""Bytes on the wire for each byte of the largest body; a chunk of one byte takes six."""

LINE_BYTES = 12
"""Bytes of a request line besides the method and the target."""

FIELD_BYTES = 4
"""Bytes of a header field besides its name and its value."""

STRAY_LINES_BYTES = 64
"""Bytes of empty lines that are accepted before a request."""


class ParsedRequest(msgspec.Struct, frozen=True):
    """A request that was read to its end.

    Parameters
    ----------
    request
        The request.
    keep_alive
        Whether the connection can serve another request after it.
    """

    request: Request
    keep_alive: bool


class RequestParser:
    """Parses the requests of one connection and enforces the limits of their size.

    The bytes of a request that are held are bounded by the limits and the size of a piece. A
    request that ends within the bytes of one piece costs no more than its callbacks; a body in
    chunks costs one callback for each chunk.

    Parameters
    ----------
    limits
        Limits of each request.

    Attributes
    ----------
    complete
        Requests that were read to their end and not yet taken.
    refused
        Reason for which the request after them is refused; nothing more is parsed then.
    ended
        Whether no request can follow those in `complete` on this connection.
    in_request
        Whether a request has begun and not ended.
    in_body
        Whether the header fields of that request have ended.
    """

    __slots__ = (
        "_body",
        "_body_arrived",
        "_empty_bytes",
        "_field_bytes",
        "_framed_bytes",
        "_header_bytes",
        "_headers",
        "_hosts",
        "_method",
        "_parser",
        "_stray_bytes",
        "_target",
        "_version",
        "complete",
        "ended",
        "in_body",
        "in_request",
        "limits",
        "refused",
    )

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.complete: deque[ParsedRequest] = deque()
        self.refused: Refused | None = None
        self.ended = False
        self.in_request = False
        self.in_body = False
        self._parser = httptools.HttpRequestParser(self)
        self._empty_bytes = 0
        self._body_arrived = False
        self._begin()

    @property
    def held_bytes(self) -> int:
        """Size of what is held of the request that has not ended."""
        return self._header_bytes + len(self._body) + self._stray_bytes

    @property
    def missing_body_bytes(self) -> int:
        """Size of the rest of the body of that request, if its length is known; else 0."""
        if not self.in_body:
            return 0
        return int(self._headers.get("content-length") or 0) - len(self._body)

    @property
    def waits_for_continue(self) -> bool:
        """Whether the client waits for a response before it sends the body."""
        if not self.in_body or self._body or self._version != "1.1":
            return False
        return self._headers.get("expect", "").lower() == "100-continue"

    def feed(self, piece: memoryview | bytes) -> None:
        """Parse the next bytes of the connection."""
        if self.ended or self.refused is not None:
            return
        complete = len(self.complete)
        self._body_arrived = False
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here; the request is answered and the connection closed.
            self.ended = True
        except httptools.HttpParserError:
            if not self.ended:
                self._refuse(Refused.MALFORMED)
        if not self.ended and self.refused is None:
            self._count(len(piece), ended_one=len(self.complete) > complete)

    def release(self) -> None:
        """Release what is held at once; the parser and its callbacks refer to each other."""
        self.ended = True
        self.complete.clear()
        self._body = b""
        self._parser = None

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._begin()
        self.in_request = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field, or a trailer field, which is counted and ignored."""
        self._field_bytes += len(name) + len(value) + FIELD_BYTES
        if self._field_bytes > self.limits.max_header_bytes:
            self._refuse(Refused.HEADERS_TOO_LARGE)
        elif not self.in_body:
            key = name.decode("latin-1").lower()
            self._hosts += key == "host"
            self._headers[key] = value.decode("latin-1").strip(" \t")

    def on_headers_complete(self) -> None:
        """Check the header fields."""
        if self.refused is not None:
            return
        self.in_body = True
        self._method = self._parser.get_method().decode("latin-1")
        self._version = self._parser.get_http_version()
        line_bytes = len(self._method) + len(self._target) + LINE_BYTES
        self._header_bytes = self._field_bytes = self._field_bytes + line_bytes
        if self._header_bytes > self.limits.max_header_bytes:
            self._refuse(Refused.HEADERS_TOO_LARGE)
        elif not self._well_formed():
            self._refuse(Refused.MALFORMED)
        elif int(self._headers.get("content-length") or 0) > self.limits.max_body_bytes:
            self._refuse(Refused.BODY_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.refused is not None:
            return
        self._body_arrived = True
        if not self._body:
            self._body = data
        elif isinstance(self._body, bytearray):
            self._body += data
        else:
            self._body = bytearray(self._body)
            self._body += data
        if len(self._body) > self.limits.max_body_bytes:
            self._refuse(Refused.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """End a request."""
        if self.refused is not None or self.ended:
            return
        keep_alive = self._version == "1.1" and self._parser.should_keep_alive()
        if self._method == "CONNECT" or self._parser.should_upgrade():
            keep_alive = False
        request = Request(
            self._method, self._target.decode("latin-1"), bytes(self._body), self._headers
        )
        self.complete.append(ParsedRequest(request, keep_alive))
        self.ended = not keep_alive
        self._begin()

    def _begin(self) -> None:
        self.in_request = False
        self.in_body = False
        self._method = ""
        self._version = ""
        self._target = b""
        self._headers: dict[str, str] = {}
        self._hosts = 0
        self._field_bytes = 0
        self._header_bytes = 0
        self._stray_bytes = 0
        self._framed_bytes = 0
        self._body: bytes | bytearray = b""

    def _well_formed(self) -> bool:
        """Return whether nobody on the way can see another end of the request or another host.

        What `httptools` refuses by itself is not repeated: a length together with chunks, two
        lengths, folded fields, white space before a colon, and lines without a carriage return.
        """
        if self._version not in VERSIONS:
            return False
        encoding = self._headers.get("transfer-encoding")
        if encoding is not None and (self._version == "1.0" or encoding.lower() != "chunked"):
            return False
        return self._hosts == 1 or (self._version == "1.0" and not self._hosts)

    def _count(self, size: int, *, ended_one: bool) -> None:
        """Count the bytes of a piece that has not ended its last request."""
        if not self.in_request:
            self._empty_bytes = 0 if ended_one else self._empty_bytes + size
            if self._empty_bytes > STRAY_LINES_BYTES:
                self._refuse(Refused.MALFORMED)
            return
        self._empty_bytes = 0
        if not self.in_body:
            # A piece that also ended another request is not counted, as its share is not known.
            self._header_bytes += 0 if ended_one else size
            if self._header_bytes > self.limits.max_header_bytes:
                self._refuse(Refused.HEADERS_TOO_LARGE)
            return
        self._framed_bytes += size
        # Extensions of chunks and trailers bring no body; the parser may hold them.
        self._stray_bytes = 0 if self._body_arrived else self._stray_bytes + size
        if self._stray_bytes > self.limits.max_header_bytes:
            self._refuse(Refused.HEADERS_TOO_LARGE)
        elif self._framed_bytes > FRAMING_FACTOR * self.limits.max_body_bytes + size:
            self._refuse(Refused.MALFORMED)

    def _refuse(self, refused: Refused) -> None:
        self.refused = refused
        self._body = b""
        self._headers = {}
