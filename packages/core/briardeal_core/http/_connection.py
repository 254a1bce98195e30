"""One connection of a client to the server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.http._budget import HELD_BYTES, Phase
from briardeal_core.http._limits import Refused
from briardeal_core.http._messages import Reply
from briardeal_core.http._parser import RequestParser
from briardeal_core.http._replies import CONTINUE, encode_refusal, encode_reply

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from briardeal_core.http._budget import Holding
    from briardeal_core.http._parser import ParsedRequest
    from briardeal_core.http._server import HttpServer

IDLE_FOR_OTHERS = "idle_for_others"
"""Reason of connections that are closed between requests, as others need their place."""

SENDS_AHEAD = "sends_ahead"
"""Reason of connections that get no further answers, as all places are taken by served ones."""

UNREAD_ANSWER = "unread_answer"
"""Reason of connections whose client has not read its answer in time, or when others need room."""

CUT_OFF = "cut_off"
"""Reason of connections whose client ends in the middle of a request."""

LINGER_S = 1.0
"""Time for which a refused connection stays open, in seconds.

Closing it while the client still sends would reset it, and the client would not read the answer."""

DISCARDED_BYTES = 524_288
"""Bytes that are received and discarded on a refused connection, so that clients that send before
they read come to the answer; twice the largest body."""

SLICE_BYTES = 1_024
"""Size of the slices in which small requests are parsed.

A parsed request takes over ten times its bytes, so that no whole piece is parsed ahead of the
answers."""

TURN_BYTES = 512
"""Size from which a piece that does not end its request makes the connection wait for its turn.

The sockets of slow links bring pieces that are smaller; they cost little to parse."""


class HttpConnection(asyncio.BufferedProtocol):
    """Reads the requests of one client and answers them one after the other.

    At most one piece is read while a request is served, and requests are parsed when those before
    them have been answered, so that a client can't pile up requests.

    Parameters
    ----------
    server
        Server that accepted the connection.
    now_s
        Time at which it was accepted, in seconds.
    """

    def __init__(self, server: HttpServer, now_s: float) -> None:
        self.server = server
        self.holding: Holding = server.budget.open(self, now_s)
        self.transport: asyncio.Transport | None = None
        self.parser: RequestParser | None = RequestParser(server.limits)
        self.unparsed = b""
        self.serving: ParsedRequest | None = None
        self.flush_since_s: float | None = None
        self.discarded_bytes = 0
        self.continued = False
        self.half_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; the connection may have been closed for others meanwhile."""
        self.transport = transport  # type: ignore[assignment]
        # Replies that the kernel doesn't take at once call `pause_writing`.
        self.transport.set_write_buffer_limits(high=0)
        if self.parser is None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Release what the connection holds; a request being served goes on."""
        self.server.forget(self)
        self._release()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share, as each piece is parsed at once."""
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a piece, and answer the requests that it ends."""
        parser = self.parser
        if parser is None:
            self._discard(nbytes)
            return
        if self.holding.phase is Phase.IDLE:
            parser.limits = self.server.limits
        piece = self.server.buffer[:nbytes]
        if self.serving is not None or self.flush_since_s is not None:
            self.unparsed += piece
            self.holding.sends_ahead = True
            self.transport.pause_reading()
            return
        self._parse(parser, piece)
        if parser.complete:
            self._serve_next()
        else:
            self._continue_reading(parser, nbytes)

    def eof_received(self) -> bool:
        """Refuse a request that has no end; return whether the connection is still needed."""
        if self.parser is None:
            return False
        if self.serving is not None or self.flush_since_s is not None:
            self.half_closed = True
            return True
        if self.parser.in_request:
            self.refuse(Refused.MALFORMED, CUT_OFF)
        return False

    def pause_writing(self) -> None:
        """Wait for the client to read its answer before more is read from it."""
        self.flush_since_s = self.server.now_s()
        if self.holding.phase in (Phase.SERVING, Phase.CLOSING):
            self._enter(Phase.WRITING)

    def resume_writing(self) -> None:
        """Go on after the client has read its answer."""
        self.flush_since_s = None
        if self.serving is None and self.parser is not None and not self.transport.is_closing():
            self._serve_next()

    def check_deadlines(self, now_s: float) -> None:
        """Close the connection if the client is too slow."""
        limits = self.server.limits
        holding = self.holding
        age_s = now_s - holding.since_s
        if self.flush_since_s is not None and now_s - self.flush_since_s > limits.idle_timeout_s:
            self.server.count_closed(UNREAD_ANSWER)
            self.abort()
        elif holding.phase is Phase.REFUSED:
            if age_s > LINGER_S:
                self.abort()
        elif holding.phase is Phase.IDLE:
            if age_s > limits.idle_timeout_s:
                self.server.count_closed("idle")
                self.close()
        elif holding.phase is Phase.READING and self.parser is not None:
            timeout_s = limits.body_timeout_s
            if not self.parser.in_body:
                timeout_s = min(timeout_s, limits.header_timeout_s)
            if age_s > timeout_s:
                self.refuse(Refused.TOO_SLOW)

    def refuse(self, refused: Refused, reason: str = "") -> None:
        """Answer that the request being read has not run, and close the connection after a while.

        There is no answer if the client has not read earlier ones. `reason` is counted if it says
        more than the answer.
        """
        self.server.count_closed(reason or refused.code)
        self.server.budget.hold(self.holding, 0)
        self._release()
        if not self._writable:
            self.abort()
            return
        self.transport.write(encode_refusal(refused, self.server.limits))
        self.transport.write_eof()
        self._enter(Phase.REFUSED)
        self._resume()

    def close(self) -> None:
        """Close the connection after what is written has been sent."""
        self._release()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.server.forget(self)
        self._release()
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if it is between requests, and not if it was only just accepted."""
        if self.holding.phase is Phase.IDLE and self.transport is not None:
            self.close()

    def close_after_answer(self) -> None:
        """Close the connection after the answer under way, and drop what its client sent ahead."""
        self.server.count_closed(SENDS_AHEAD)
        self._enter(Phase.CLOSING)

    def make_room(self) -> None:
        """Close the connection at once for another one, with an answer if a request is read."""
        if self.holding.phase is Phase.IDLE:
            self.server.count_closed(IDLE_FOR_OTHERS)
        elif self.holding.phase is Phase.WRITING:
            self.server.count_closed(UNREAD_ANSWER)
        elif self.holding.phase is Phase.READING:
            self.server.count_closed(Refused.TOO_MANY.code)
            if self._writable:
                self.transport.write(encode_refusal(Refused.TOO_MANY, self.server.limits))
                if not self.transport.get_write_buffer_size():
                    self.server.forget(self)
                    self.close()
                    return
        self.abort()

    def resume_turn(self) -> None:
        """Read the next piece."""
        self._resume()

    def _parse(self, parser: RequestParser, data: memoryview | bytes) -> None:
        """Parse up to the end of a request, and keep what follows it."""
        while data and not (parser.complete or parser.ended or parser.refused is not None):
            size = max(SLICE_BYTES, parser.missing_body_bytes)
            parser.feed(data[:size])
            data = data[size:]
        self.unparsed = bytes(data)

    def _release(self) -> None:
        self.unparsed = b""
        if self.parser is not None:
            self.parser.release()
            self.parser = None

    @property
    def _writable(self) -> bool:
        """Whether an answer can be written without waiting for the client."""
        open_ = self.transport is not None and not self.transport.is_closing()
        return open_ and self.flush_since_s is None

    def _continue_reading(self, parser: RequestParser, nbytes: int) -> None:
        if parser.refused is not None:
            self.refuse(parser.refused)
            return
        if parser.ended:
            self.close()
            return
        if not parser.in_request:
            return
        if self.holding.phase is not Phase.READING:
            self._enter(Phase.READING)
        if parser.waits_for_continue and not self.continued:
            self.continued = True
            self.transport.write(CONTINUE)
        self.server.budget.hold(self.holding, parser.held_bytes)
        self.server.limit_reads(self)
        if nbytes < TURN_BYTES or self.parser is None:
            return
        if not self.server.turns.read_on(self):
            self.transport.pause_reading()

    def _serve_next(self) -> None:
        """Serve the requests that were read, then read on."""
        while self._has_request() and self.flush_since_s is None:
            self.serving = self.parser.complete.popleft()
            self._enter(Phase.SERVING)
            self.holding.sends_ahead = bool(self.parser.complete or self.unparsed)
            self._hold_served()
            self.server.active_requests += 1
            try:
                reply = self.server.handle(self.serving.request)
            except Exception as error:
                self._fail(error)
                return
            if not isinstance(reply, Reply):
                self.server.run(self._serve_later(reply))
                return
            self._answer(reply)
        if self.parser is not None and self.flush_since_s is None:
            self._read_on(self.parser)

    def _has_request(self) -> bool:
        """Return whether a request that was read waits for its answer."""
        if self.parser is None:
            return False
        if not self.parser.complete:
            self._parse(self.parser, self.unparsed)
        return bool(self.parser.complete)

    def _hold_served(self) -> None:
        """Count the requests that were read; pipelined ones are as small as one piece in all."""
        held_bytes = len(self.serving.request.body)
        if held_bytes >= HELD_BYTES or self.holding.held_bytes:
            self.server.budget.hold(self.holding, held_bytes)

    async def _serve_later(self, reply: Awaitable[Reply]) -> None:
        try:
            answer = await reply
        except Exception as error:
            self._fail(error)
            return
        self._answer(answer)
        self._serve_next()

    def _answer(self, reply: Reply) -> None:
        parsed, self.serving = self.serving, None
        self.server.active_requests -= 1
        if self.parser is None or self.transport.is_closing():
            return
        # Requests that were read whole are answered also while the server stops.
        last = not parsed.keep_alive or self.holding.phase is Phase.CLOSING
        if self.server.draining or self.half_closed:
            last = last or not self._has_request()
        head_only = parsed.request.method == "HEAD"
        self.transport.write(encode_reply(reply, head_only=head_only, close=last))
        if last:
            self.close()

    def _read_on(self, parser: RequestParser) -> None:
        self.continued = False
        self._enter(Phase.READING if parser.in_request else Phase.IDLE)
        if parser.in_request or self.holding.held_bytes:
            self.server.budget.hold(self.holding, parser.held_bytes)
        if parser.refused is not None:
            self.refuse(parser.refused)
        elif self.half_closed:
            self.close()
        else:
            self._resume()

    def _fail(self, error: Exception) -> None:
        """Close the connection without an answer, as what has run is not known."""
        self.serving = None
        self.server.active_requests -= 1
        self.server.report(error)
        self.close()

    def _discard(self, nbytes: int) -> None:
        self.discarded_bytes += nbytes
        if self.discarded_bytes > DISCARDED_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()

    def _enter(self, phase: Phase) -> None:
        self.holding.phase = phase
        self.holding.since_s = self.server.now_s()

    def _resume(self) -> None:
        if not self.transport.is_closing() and not self.transport.is_reading():
            self.transport.resume_reading()
