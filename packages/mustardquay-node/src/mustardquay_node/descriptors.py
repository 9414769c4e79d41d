"""Descriptors: what a process does that may open no more of them.

The limit is the machine's, and connections to many upstreams and of many callers reach
it together. What is idle is closed first. What still can't be opened is not put down to
its peer: a request is refused as not run, and a connection that waits to be accepted is
closed at once, so that its caller turns to another process.
"""

import errno
import os
import socket
from collections.abc import Callable
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.events import EventRing

__all__ = ["AcceptingSocket", "DescriptorGuard", "is_exhausted"]

EXHAUSTED = (errno.EMFILE, errno.ENFILE)
LINE_INTERVAL = timedelta(seconds=5)
"""Least time between two lines of the log on the same shortage."""


def is_exhausted(error: OSError) -> bool:
    """Return whether an error says that there are no descriptors left."""
    return error.errno in EXHAUSTED


class DescriptorGuard:
    """Closes what is idle when descriptors run out, and tells it."""

    def __init__(self, clock: Clock, events: EventRing):
        self._clock = clock
        self._events = events
        self._told_at: timedelta | None = None

    def make_room(self, *sources: Callable[[], int]) -> bool:
        """Close idle connections; returns whether there were any.

        Each source closes those of one kind and returns how many; the first that
        closes any is enough.
        """
        closed = 0
        for close_idle in sources:
            closed = close_idle()
            if closed:
                break
        self._tell(closed)
        return closed > 0

    def _tell(self, closed: int) -> None:
        now = self._clock.monotonic()
        if self._told_at is not None and now - self._told_at < LINE_INTERVAL:
            return
        self._told_at = now
        self._events.record(
            "descriptors.exhausted",
            closed=closed,
            remedy="Raise the limit of open files, or run more gateways.",
        )


class AcceptingSocket(socket.socket):
    """A listening socket that closes connections for which there is no descriptor.

    Guards against a loop that is told of the same waiting connection for ever, without
    being able to accept it, and has no time for the others.
    """

    def __init__(self, listening: socket.socket, make_room: Callable[[], bool]):
        """Take over a listening socket.

        `make_room` closes what is idle, and returns whether there was any.
        """
        super().__init__(fileno=listening.detach())
        self.setblocking(False)
        self._make_room = make_room
        self._spare = _open_spare()

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection; raises `BlockingIOError` if it had to be closed."""
        accepted = self._try_accept()
        if accepted is None and self._make_room():
            accepted = self._try_accept()
        if accepted is None:
            self._turn_away()
            raise BlockingIOError(errno.EAGAIN, "No descriptors; connection closed.")
        return accepted

    def close(self) -> None:
        """Stop listening."""
        self._close_spare()
        super().close()

    def _try_accept(self) -> tuple[socket.socket, object] | None:
        """Accept a connection; None if there are no descriptors left."""
        try:
            return super().accept()
        except OSError as error:
            if not is_exhausted(error):
                raise
            return None

    def _turn_away(self) -> None:
        """Close the connection that waits, by the descriptor kept for this."""
        self._close_spare()
        accepted = self._try_accept()
        if accepted is not None:
            accepted[0].close()
        self._spare = _open_spare()

    def _close_spare(self) -> None:
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None


def _open_spare() -> int | None:
    try:
        return os.open(os.devnull, os.O_RDONLY)
    except OSError as error:
        if not is_exhausted(error):
            raise
        return None
