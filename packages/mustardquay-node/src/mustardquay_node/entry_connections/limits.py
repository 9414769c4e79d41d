"""Limits of the time in which the head and the body of a request must arrive.

They count the time for which this process ran. A connection on which bytes are there as
its limit runs out is left to the next check, until which they are read and parsed.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from itertools import takewhile
from typing import Protocol

from mustardquay.clocks import Clock
from mustardquay.request_ownership import RunningClock

__all__ = ["LimitWatch", "LimitedConnection"]

CHECK_INTERVAL = timedelta(milliseconds=100)
LONGEST_STEP = timedelta(milliseconds=150)
"""What a check counts for that comes late."""


class LimitedConnection(Protocol):
    """A connection on which a request is awaited."""

    @property
    def is_waiting(self) -> bool:
        """Return whether the server waits for bytes, and none are there."""


Queue = dict[LimitedConnection, timedelta]
"""Connections with the running time at which they began to wait, in that order."""


class LimitWatch:
    """Calls back for the connections whose limit has run out."""

    def __init__(
        self,
        clock: Clock,
        idle_limit: timedelta,
        body_limit: timedelta,
        end: Callable[[LimitedConnection], None],
    ):
        """Take `idle_limit`, within which the whole head must have arrived."""
        self._clock = clock
        self._end = end
        self._running = RunningClock(clock.monotonic(), LONGEST_STEP)
        self._heads: Queue = {}
        self._bodies: Queue = {}
        self._limits = ((self._heads, idle_limit), (self._bodies, body_limit))
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to check."""
        seconds = CHECK_INTERVAL.total_seconds()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._repeat)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def await_head(self, connection: LimitedConnection) -> None:
        """Note that a connection waits for the head of a request."""
        self.forget(connection)
        self._heads[connection] = self._running.read(self._clock.monotonic())

    def await_body(self, connection: LimitedConnection) -> None:
        """Note that a connection waits for the body of a request."""
        self.forget(connection)
        self._bodies[connection] = self._running.read(self._clock.monotonic())

    def forget(self, connection: LimitedConnection) -> None:
        """Note that a request is whole, or that its connection is closed."""
        self._heads.pop(connection, None)
        self._bodies.pop(connection, None)

    def check(self) -> None:
        """End the connections whose limit has run out."""
        now = self._running.advance(self._clock.monotonic())
        for queue, limit in self._limits:
            for connection in find_overdue(queue, now - limit):
                if connection.is_waiting:
                    self.forget(connection)
                    self._end(connection)

    def _repeat(self) -> None:
        self.start()
        self.check()


def find_overdue(queue: Queue, begun_by: timedelta) -> list[LimitedConnection]:
    """Return the connections that began to wait at a time or earlier."""
    overdue = takewhile(lambda item: item[1] <= begun_by, queue.items())
    return [connection for connection, _ in overdue]
