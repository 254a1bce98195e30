"""Turns of connections that send large requests."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_core.http._connection import HttpConnection

PIECES_IN_TURN = 4
"""Number of pieces parsed before the event loop serves others.

A piece of 16 KB in chunks of one byte took 1.2 to 1.4 ms to parse."""


class Turns:
    """Lets connections with large requests read one piece each in turn.

    Answers crowds whose requests are costly to parse: other connections wait for a few pieces at
    most, however many connections take turns. Up to that number, connections read on without a
    pause, which would cost two system calls for each piece.
    """

    def __init__(self) -> None:
        self._waiting: deque[HttpConnection] = deque()
        self._pieces = 0
        self._scheduled = False

    def read_on(self, connection: HttpConnection) -> bool:
        """Count a piece; return whether the connection may read another one without a pause.

        Otherwise it has to pause, and is resumed in its turn.
        """
        self._pieces += 1
        if not self._scheduled:
            self._schedule()
        if self._pieces <= PIECES_IN_TURN and not self._waiting:
            return True
        self._waiting.append(connection)
        return False

    def _schedule(self) -> None:
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._scheduled = False
        self._pieces = 0
        for _ in range(min(PIECES_IN_TURN, len(self._waiting))):
            self._waiting.popleft().resume_turn()
        if self._waiting:
            self._schedule()
