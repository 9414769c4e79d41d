"""All the connections of callers to one process, and how they are closed."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from itertools import count

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import HTTPMessageDelegate, HTTPServerConnectionDelegate

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.request_ownership import Occasion
from mustardquay.routing_tables import CallerLimits

from ..memory_guards import MemoryGuard
from .answers import CallerAnswer
from .endings import end_connections
from .limit_watches import LimitWatch
from .lingering import Lingerer
from .memory_watches import MemoryWatch
from .owned_connections import ConnectionDependencies, OwnedConnection
from .paces import CallerPace
from .readers import ReaderOptions, RequestReader
from .requests import CallerRequest
from .streams import CallerStream

__all__ = ["CallerConnections", "ConnectionOptions"]


@dataclass(slots=True)
class ConnectionOptions:
    """Dependencies of the connections."""

    clock: Clock
    events: EventRing
    limits: Callable[[], CallerLimits]
    handle: Callable[[CallerRequest, CallerAnswer], None]
    memory: MemoryGuard | None = None
    """Limits what is held for slow callers; None for no limit."""


class CallerConnections(HTTPServerConnectionDelegate):
    """Passes each request of each connection to the handler."""

    def __init__(self, options: ConnectionOptions):
        self._options = options
        self._is_ending = False
        self._open: dict[OwnedConnection, None] = {}
        self._by_stream: dict[CallerStream, OwnedConnection] = {}
        self._numbers = count(1)
        self._lingerer = Lingerer()
        self._limit_watch = LimitWatch(options.clock, options.limits)
        guard, clock = options.memory, options.clock
        self._memory_watch = None if guard is None else MemoryWatch(guard, clock)
        self._bytes_of_closed = 0
        """What was read on connections that are closed."""

    def start(self) -> None:
        """Start to apply the limits."""
        self._limit_watch.start()
        if self._memory_watch is not None:
            self._memory_watch.start()

    def close(self) -> None:
        """Stop applying the limits."""
        self._limit_watch.close()
        if self._memory_watch is not None:
            self._memory_watch.close()

    @property
    def memory(self) -> MemoryGuard | None:
        """Return what is held for callers; None without a limit of memory."""
        return self._options.memory

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def unanswered(self) -> int:
        """Return the number of whole requests without a complete, written answer."""
        return sum(each.ownership.is_unanswered for each in self._open)

    @property
    def bytes_read(self) -> int:
        """Return how much was read on all connections."""
        opened = sum(each.ownership.bytes_read for each in self._open)
        return self._bytes_of_closed + opened

    def open_stream(self, accepted: socket.socket) -> CallerStream:
        """Own an accepted connection; returns the stream for tornado to read."""
        connection = OwnedConnection(self._make_dependencies(), next(self._numbers))
        stream = connection.open_stream(accepted)
        self._open[connection] = None
        self._by_stream[stream] = connection
        if self._memory_watch is not None:
            self._memory_watch.add(connection)
        return stream

    def end_keep_alive(self) -> None:
        """Announce with each answer that its connection is closed after it."""
        self._is_ending = True

    def close_idle(self) -> int:
        """Close the connections that are known to be empty; returns how many."""
        return self.apply(Occasion.STOP)

    def apply(self, occasion: Occasion) -> int:
        """Close or answer the connections for which it is time; returns how many."""
        return sum(each.close_if_due(occasion) for each in list(self._open))

    def free_descriptors(self) -> int:
        """Close empty connections, else those that linger; returns how many."""
        return self.apply(Occasion.SHORTAGE) or self._lingerer.free()

    async def end(self, end_by: timedelta) -> None:
        """Close all connections, each with the answers that are owed on it.

        Ends soon after `end_by`, on the monotonic clock, at the latest.
        """
        await end_connections(self, self._options.clock, end_by)
        await self._lingerer.drain()

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        connection = self._by_stream[server_conn.stream]
        connection.begin_request()
        options = ReaderOptions(
            self._options.clock,
            self._options.limits,
            self._options.handle,
            is_last=lambda: self._is_ending,
            memory=self._options.memory,
        )
        return RequestReader(options, connection, request_conn)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a connection that tornado no longer serves."""
        server_conn.stream.close()
        self._by_stream.pop(server_conn.stream, None)

    def _make_dependencies(self) -> ConnectionDependencies:
        options, watch = self._options, self._memory_watch
        deps = ConnectionDependencies(
            options.clock,
            options.events,
            self._lingerer,
            self._limit_watch.watch,
            self._limit_watch.forget,
            self._note_closed,
        )
        if options.memory is None or watch is None:
            return deps
        make_pace = partial(CallerPace, options.memory, options.clock)
        return replace(deps, make_pace=make_pace, note_answered=watch.note_answered)

    def _note_closed(self, connection: OwnedConnection) -> None:
        self._open.pop(connection, None)
        self._limit_watch.forget(connection)
        if self._memory_watch is not None:
            self._memory_watch.forget(connection)
        self._bytes_of_closed += connection.ownership.bytes_read
