"""Memory watches: measure the process, and close stalled connections that hold much."""

import asyncio
import fcntl
import socket
import struct
import termios
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.memory_limits import Closing, HeldBytes, find_closing
from mustardquay.request_ownership import Occasion

from ..memory_guards import MemoryGuard
from .owned_connections import OwnedConnection

__all__ = ["MemoryWatch"]

CHECK_INTERVAL = timedelta(milliseconds=100)
"""Time between two checks. Each closes one connection at the most, as what that frees
may be enough."""


class MemoryWatch:
    """Looks at the connections of one process that hold anything."""

    def __init__(self, guard: MemoryGuard, clock: Clock):
        self._guard = guard
        self._clock = clock
        self._connections: dict[HeldBytes, OwnedConnection] = {}
        self._answered: dict[OwnedConnection, None] = {}
        """Connections with an answer since the last check; the kernel may hold it."""
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to check."""
        seconds = CHECK_INTERVAL.total_seconds()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._check)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def add(self, connection: OwnedConnection) -> None:
        """Watch a connection."""
        if connection.pace is not None:
            self._connections[connection.pace.held] = connection

    def note_answered(self, connection: OwnedConnection) -> None:
        """Note that an answer has begun on a connection."""
        self._answered[connection] = None

    def forget(self, connection: OwnedConnection) -> None:
        """Note that a connection is closed."""
        self._answered.pop(connection, None)
        if connection.pace is not None:
            self._connections.pop(connection.pace.held, None)

    def _check(self) -> None:
        self.start()
        self._guard.measure()
        self._look_into_kernel()
        closing = find_closing(
            self._guard.ledger,
            self._guard.limits,
            self._guard.refused_for,
            self._clock.monotonic(),
            self._is_closable,
        )
        if closing is not None:
            self._close(closing)

    def _is_closable(self, held: HeldBytes) -> bool:
        connection = self._connections.get(held)
        return connection is not None and connection.is_due(Occasion.MEMORY)

    def _close(self, closing: Closing) -> None:
        connection = self._connections[closing.held]
        identity = connection.identity
        self._guard.note_closing(
            closing, **identity.describe(self._clock.monotonic(), connection.position)
        )
        connection.close_if_due(Occasion(closing.reason.value))

    def _look_into_kernel(self) -> None:
        """Measure what the kernel holds for callers; those who read have none of it."""
        looked_at, self._answered = self._answered, {}
        for held in self._guard.ledger.holding:
            if held in self._connections:
                looked_at[self._connections[held]] = None
        for connection in looked_at:
            if connection.pace is not None and not connection.stream.closed():
                size = count_unread(connection.stream.socket)
                connection.pace.note_in_kernel(size)


def count_unread(stream: socket.socket) -> int:
    """Return the bytes that were written to a socket and not taken by its peer."""
    try:
        answer = fcntl.ioctl(stream, termios.TIOCOUTQ, b"\0\0\0\0")
    except OSError:
        return 0
    return struct.unpack("i", answer)[0]
