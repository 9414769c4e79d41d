"""Handling of exhausted file descriptors.

The limit is set by the operating system, and connections to upstreams and from callers
count towards it together. Idle connections are closed first. If a connection still
can't be opened, this doesn't count as a failure of its peer: a request is refused as
not run, and a connection that waits to be accepted is closed at once, so that its
caller connects to another process.
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
MAX_CLOSED = 64
"""Connections that are closed unread before other events of the loop come first."""
LOG_INTERVAL = timedelta(seconds=5)
"""Least time between two log lines about exhausted descriptors."""


def is_exhausted(error: OSError) -> bool:
    """Return whether an error means that there are no descriptors left."""
    return error.errno in EXHAUSTED


class DescriptorGuard:
    """Closes idle connections when descriptors run out, and logs it."""

    def __init__(self, clock: Clock, events: EventRing):
        self._clock = clock
        self._events = events
        self._logged_at: timedelta | None = None

    def free_descriptors(self, *sources: Callable[[], int]) -> bool:
        """Close idle connections; returns whether there were any.

        Each source closes connections of one kind and returns how many; the first one
        that closes any ends the search.
        """
        closed = 0
        for close_idle in sources:
            closed = close_idle()
            if closed:
                break
        self._log_shortage(closed)
        return closed > 0

    def _log_shortage(self, closed: int) -> None:
        now = self._clock.monotonic()
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        self._events.record(
            "descriptors.exhausted",
            closed=closed,
            remedy="Raise the limit of open files, or run more gateways.",
        )


class AcceptingSocket(socket.socket):
    """A listening socket that closes connections that the process can't serve.

    Guards against an event loop that spins on a pending connection for which there is
    no descriptor, and starves all others.
    """

    def __init__(
        self,
        listening: socket.socket,
        free_descriptors: Callable[[], bool],
        admits: Callable[[], bool] | None = None,
    ):
        """Take over a listening socket.

        `free_descriptors` closes idle connections, and returns whether there were any.
        `admits` returns whether to take the next connection; others are closed unread.
        Without it all are taken.
        """
        super().__init__(fileno=listening.detach())
        self.setblocking(False)
        self._free_descriptors = free_descriptors
        self._admits = admits
        self._spare = _open_spare()

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection; raises `BlockingIOError` if it was closed instead."""
        for _ in range(MAX_CLOSED):
            accepted = self._accept_next()
            if self._admits is None or self._admits():
                return accepted
            accepted[0].close()
        raise BlockingIOError(errno.EAGAIN, "Connections were closed unread.")

    def admit_all(self) -> None:
        """Take all connections from here on."""
        self._admits = None

    def _accept_next(self) -> tuple[socket.socket, object]:
        accepted = self._try_accept()
        if accepted is None and self._free_descriptors():
            accepted = self._try_accept()
        if accepted is None:
            self._reject_connection()
            raise BlockingIOError(errno.EAGAIN, "No descriptors; connection closed.")
        return accepted

    def close(self) -> None:
        """Stop listening."""
        self._close_spare()
        super().close()

    def _try_accept(self) -> tuple[socket.socket, object] | None:
        """Accept a connection; returns None if there are no descriptors left."""
        try:
            return super().accept()
        except OSError as error:
            if not is_exhausted(error):
                raise
            return None

    def _reject_connection(self) -> None:
        """Close the pending connection, with the descriptor reserved for this."""
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
