"""The connections of callers to one entry."""

import os
import socket
from collections.abc import Callable
from datetime import timedelta

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream, StreamClosedError

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.request_ownership import (
    ClosingStep,
    ConnectionPhase,
    Occasion,
    decide_step,
)

from ..caller_connections.endings import end_connections
from ..caller_connections.lingering import Lingerer
from ..unread_bytes import has_unread_bytes
from .limits import LimitWatch
from .refusals import build_refusal

__all__ = ["EntryConnection", "EntryConnections"]


class EntryConnection:
    """One connection of a caller, from its accept to its close."""

    def __init__(self, stream: IOStream, linger: Callable[[socket.socket], None]):
        """Take `linger`, which reads a socket until its caller has closed it."""
        self._stream = stream
        self._linger = linger
        self._request: HTTP1Connection | None = None
        self._has_head = False
        self._is_whole = False
        self._is_refused = False
        self._parsed = 0

    @property
    def phase(self) -> ConnectionPhase:
        """Return what the connection is doing."""
        if self._stream.closed():
            return ConnectionPhase.CLOSED
        if self._is_refused:
            return ConnectionPhase.FLUSHING
        if self._is_whole or self._has_answer():
            return ConnectionPhase.OWNED
        if self._has_head or self._has_read():
            return ConnectionPhase.READING
        return ConnectionPhase.EMPTY

    @property
    def progress(self) -> int:
        """Return a number that changes when bytes were read."""
        return self._parsed + self._stream._read_buffer_size

    @property
    def is_waiting(self) -> bool:
        """Return whether tornado waits for bytes, and none are there.

        The bytes that it waited for have left its buffer when its read ends, and are
        parsed an iteration of the event loop later.
        """
        return self._stream.reading() and not self.has_unread_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the caller wait in the kernel."""
        return not self._stream.closed() and has_unread_bytes(self._stream.socket)

    def begin_request(self, request: HTTP1Connection) -> None:
        """Note that the next request is awaited."""
        self._request = request
        self._has_head = self._is_whole = False

    def note_head(self) -> None:
        """Note that the head of a request was read."""
        self._has_head = True
        self._parsed += 1

    def note_body(self, size: int) -> None:
        """Note a part of a body."""
        self._parsed += size

    def note_whole(self) -> None:
        """Note the end of a request, whose answer is owed from now on."""
        self._is_whole = True

    def refuse(self) -> None:
        """Answer that a request, which is not read to its end, was not run; close."""
        self._is_refused = True
        try:
            written = self._stream.write(build_refusal())
        except StreamClosedError:
            return
        written.add_done_callback(lambda future: self._close_unread())

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def _has_read(self) -> bool:
        return self._stream._read_buffer_size > 0 or not self._stream.reading()

    def _has_answer(self) -> bool:
        request = self._request
        return request is not None and request._response_start_line is not None

    def _close_unread(self) -> None:
        """Close a connection with bytes that are not read, which would reset it."""
        if self._stream.closed():
            return
        copy = socket.socket(fileno=os.dup(self._stream.socket.fileno()))
        copy.setblocking(False)
        self._stream.close()
        self._linger(copy)


class EntryConnections:
    """All the connections of callers to one entry."""

    def __init__(
        self,
        clock: Clock,
        events: EventRing,
        idle_limit: timedelta,
        body_limit: timedelta,
    ):
        self._clock = clock
        self._events = events
        self._open: dict[IOStream, EntryConnection] = {}
        self._lingerer = Lingerer()
        self._limits = LimitWatch(clock, idle_limit, body_limit, self._note_limit)

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def bytes_read(self) -> int:
        """Return a number that changes when bytes were read."""
        return sum(each.progress for each in self._open.values())

    def start(self) -> None:
        """Start to apply the limits."""
        self._limits.start()

    def open(self, stream: IOStream) -> None:
        """Own a connection that was accepted."""
        connection = EntryConnection(stream, self._lingerer.take)
        self._open[stream] = connection
        self._limits.await_head(connection)

    def begin_request(
        self, stream: IOStream, request: HTTP1Connection
    ) -> EntryConnection:
        """Note that the next request of a connection is awaited."""
        connection = self._open[stream]
        connection.begin_request(request)
        self._limits.await_head(connection)
        return connection

    def await_body(self, connection: EntryConnection) -> None:
        """Note that the head of a request was read."""
        connection.note_head()
        self._limits.await_body(connection)

    def end_request(self, connection: EntryConnection) -> None:
        """Note that a request was read to its end."""
        connection.note_whole()
        self._limits.forget(connection)

    def forget(self, stream: IOStream) -> None:
        """Note that a connection is closed."""
        connection = self._open.pop(stream, None)
        if connection is not None:
            self._limits.forget(connection)

    def apply(self, occasion: Occasion) -> int:
        """Close or refuse the connections for which it is time; returns how many."""
        return sum(self._apply(each, occasion) for each in list(self._open.values()))

    async def end(self, end_by: timedelta) -> None:
        """Close all connections, each with the answers that are owed on it.

        Ends soon after `end_by`, on the monotonic clock, at the latest.
        """
        await end_connections(self, self._clock, end_by)
        await self._lingerer.drain()
        self._limits.close()

    def _apply(self, connection: EntryConnection, occasion: Occasion) -> bool:
        step = decide_step(connection.phase, occasion, connection.has_unread_bytes)
        if step is ClosingStep.KEEP:
            return False
        if step is ClosingStep.REFUSE:
            self._record(connection, occasion.value)
            connection.refuse()
            return True
        if step is ClosingStep.CUT:
            self._record(connection, occasion.value)
        connection.close()
        return True

    def _note_limit(self, connection: EntryConnection) -> None:
        if connection.phase is not ConnectionPhase.EMPTY:
            # A part of a request; what is empty is closed without a line.
            self._record(connection, "limit")
        connection.close()

    def _record(self, connection: EntryConnection, reason: str) -> None:
        self._events.record(
            "connection.closed", reason=reason, phase=connection.phase.value
        )
