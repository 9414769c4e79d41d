"""Limit watches: the operator's limits of idle connections and of partial headers.

Limits count the time for which the process ran, and a connection on which bytes are
there when its limit runs out is kept, so that they are read.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from itertools import takewhile

from mustardquay.clocks import Clock
from mustardquay.request_ownership import ConnectionPhase, Occasion, RunningClock
from mustardquay.routing_tables import CallerLimits

from .owned_connections import OwnedConnection

__all__ = ["LimitWatch"]

CHECK_INTERVAL = timedelta(milliseconds=100)
"""Time between two checks; no limit is as short as that."""
LONGEST_STEP = timedelta(milliseconds=150)
"""What a check counts for that comes late."""

Queue = dict[OwnedConnection, timedelta]


class LimitWatch:
    """Closes the connections of one process whose limits have run out.

    Connections wait in the order in which they began to, as limits are the same for
    all of them, so that a check looks only at those that are due.
    """

    def __init__(self, clock: Clock, limits: Callable[[], CallerLimits]):
        self._clock = clock
        self._limits = limits
        self._running = RunningClock(clock.monotonic(), LONGEST_STEP)
        self._waiting: Queue = {}
        self._reading: Queue = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to check."""
        seconds = CHECK_INTERVAL.total_seconds()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._check)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def watch(self, connection: OwnedConnection) -> None:
        """Note that a connection waits for a request, or for the rest of its header."""
        self.forget(connection)
        phase = connection.ownership.phase
        if phase is ConnectionPhase.CLOSED:
            # Tornado awaits the next request before it knows of the close.
            return
        is_empty = phase is ConnectionPhase.EMPTY
        queue = self._waiting if is_empty else self._reading
        queue[connection] = self._running.read(self._clock.monotonic())

    def forget(self, connection: OwnedConnection) -> None:
        """Note that a connection has a whole header, or is closed."""
        self._waiting.pop(connection, None)
        self._reading.pop(connection, None)

    def _check(self) -> None:
        self.start()
        now = self._running.advance(self._clock.monotonic())
        limits = self._limits()
        idle_limit = limits.idle_timeout + limits.header_timeout
        close_overdue(self._waiting, now - idle_limit, Occasion.IDLE_LIMIT)
        begun_by = now - limits.header_timeout
        close_overdue(self._reading, begun_by, Occasion.HEADER_LIMIT)


def close_overdue(queue: Queue, begun_by: timedelta, occasion: Occasion) -> None:
    """Close the connections that began to wait at a time or earlier."""
    overdue = list(takewhile(lambda item: item[1] <= begun_by, queue.items()))
    for connection, _ in overdue:
        if connection.close_if_due(occasion):
            queue.pop(connection, None)
