"""Connections of callers: reading requests and writing answers.

HTTP is parsed by tornado. This module adds the operator's limits, which may change
while connections are open, and a graceful shutdown.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from itertools import count

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)

from mustardquay.clocks import Clock
from mustardquay.routing_tables import CallerLimits

from .hop_headers import strip_hop_headers

__all__ = ["CallerAnswer", "CallerConnection", "CallerConnections", "CallerRequest"]

DRAIN_CHECK_INTERVAL = timedelta(milliseconds=10)
"""Time between two checks for connections that can be closed."""


@dataclass(frozen=True, slots=True)
class CallerConnection:
    """A caller's connection, as it is identified in the log."""

    number: int = 0
    """Counts the connections that the process has accepted, from 1."""
    opened_at: timedelta = timedelta()
    """On the monotonic clock."""


@dataclass(slots=True)
class CallerRequest:
    """One request as it was received."""

    method: str
    path: str
    """Includes the query, as it was sent."""
    headers: HTTPHeaders
    """Without hop-by-hop headers."""
    received_at: timedelta
    position: int = 1
    """Position among the requests of its connection, from 1."""
    connection: CallerConnection = CallerConnection()
    body: bytes = b""

    def describe_connection(self) -> dict[str, int]:
        """Return log fields: the connection, its age, and the request's position on it.

        They show whether a request came on a connection from before a stop.
        """
        age = self.received_at - self.connection.opened_at
        return {
            "connection": self.connection.number,
            "connection_ms": age // timedelta(milliseconds=1),
            "position": self.position,
        }


class CallerAnswer:
    """The answer to one request, and whether its caller is still connected."""

    def __init__(
        self,
        connection: HTTP1Connection,
        method: str,
        is_last: Callable[[], bool] = lambda: False,
        knows_chunks: bool = True,
    ):
        """Take `is_last`: returns whether this is the connection's last answer.

        Callers of HTTP/1.0 don't know chunks: a stream ends with their connection.
        """
        self._connection = connection
        self._method = method
        self._is_last = is_last
        self._knows_chunks = knows_chunks
        self._on_caller_gone: Callable[[], None] | None = None
        self.has_begun = False
        self.has_ended = False
        self.is_caller_gone = False

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` if the caller closes the connection before the answer ends."""
        self._on_caller_gone = on_gone
        self._connection.set_close_callback(self._note_gone)

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""
        if self.is_caller_gone or self.has_ended:
            return
        if self._method != "HEAD" and status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        self.has_begun = True
        self._write_head(status, headers, body)
        self._end()

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of an answer of unknown length."""
        self.has_begun = True
        if self.is_caller_gone:
            return
        if not self._knows_chunks:
            # Tornado would keep a connection of HTTP/1.0 open if its caller asks so.
            self._connection._disconnect_on_finish = True
        self._write_head(status, headers, None)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a part; returns what to await if the caller is slow to read, or None."""
        if self.is_caller_gone or self.has_ended:
            return None
        future = self._connection.write(data)
        return None if future.done() else future

    def end(self) -> None:
        """Send the end of an answer that was begun."""
        if not (self.is_caller_gone or self.has_ended):
            self._end()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self.has_ended = True
        if not self._knows_chunks:
            self._reset_on_close()
        self._connection.close()

    def _reset_on_close(self) -> None:
        """Have the connection reset, where its end would mark an answer as complete."""
        stream = self._connection.stream
        if not stream.closed():
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _write_head(self, status: int, headers: HTTPHeaders, body: bytes | None):
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        if self._is_last():
            headers["Connection"] = "close"
        self._connection.write_headers(line, headers, body or None)

    def _end(self) -> None:
        self.has_ended = True
        self._on_caller_gone = None
        self._connection.finish()

    def _note_gone(self) -> None:
        self.is_caller_gone = True
        if self._on_caller_gone is not None and not self.has_ended:
            self._on_caller_gone()


@dataclass(slots=True)
class ConnectionOptions:
    """Dependencies of the connections."""

    clock: Clock
    limits: Callable[[], CallerLimits]
    handle: Callable[[CallerRequest, CallerAnswer], None]


@dataclass(slots=True)
class _ConnectionState:
    """State of one connection."""

    current: HTTP1Connection
    """Tornado's connection object for the request that is awaited, read or answered."""
    connection: CallerConnection
    requests: int = 0
    """Requests received on it, and the one that is awaited."""
    is_busy: bool = False
    """Whether a request is being read or answered."""


class CallerConnections(HTTPServerConnectionDelegate):
    """Passes each request of each connection to the handler."""

    def __init__(self, options: ConnectionOptions):
        self._options = options
        self._is_ending = False
        self._open: dict[HTTP1ServerConnection, _ConnectionState] = {}
        self._numbers = count(1)

    def end_keep_alive(self) -> None:
        """Close each connection after its next answer.

        Guards against callers that go on using connections to a gateway that stops.
        Tornado copies `no_keep_alive` when it begins to wait for a request, so it is
        also set on connections that are already waiting.
        """
        self._is_ending = True
        for usage in self._open.values():
            usage.current.no_keep_alive = True

    def close_idle(self) -> int:
        """Close the connections on which no request is being read or answered.

        A request that arrives during the close was not read, and its caller sends it
        again. A connection with bytes that were read and not parsed yet stays open, as
        its caller would get no answer; tornado isn't reading from it at that time.
        """
        idle = [
            connection
            for connection, usage in self._open.items()
            if not usage.is_busy and connection.stream.reading()
        ]
        for connection in idle:
            connection.stream.close()
        return len(idle)

    async def drain(self, limit: timedelta) -> None:
        """Wait until each request that was read has its answer, and close connections.

        Ends after `limit`, as some callers never send the rest of a request.
        """
        deadline = self._options.clock.monotonic() + limit
        while self._open and self._options.clock.monotonic() < deadline:
            self.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL.total_seconds())

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        usage = self._open.get(server_conn)
        if usage is None:
            now = self._options.clock.monotonic()
            connection = CallerConnection(next(self._numbers), now)
            usage = self._open[server_conn] = _ConnectionState(request_conn, connection)
        usage.current = request_conn
        usage.requests += 1
        usage.is_busy = False
        return _RequestReader(self._options, usage, lambda: self._is_ending)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a connection."""
        self._open.pop(server_conn, None)


class _RequestReader(HTTPMessageDelegate):
    """Reads one request, within the limits."""

    def __init__(
        self,
        options: ConnectionOptions,
        usage: _ConnectionState,
        is_last: Callable[[], bool],
    ):
        self._options = options
        self._usage = usage
        self._connection = usage.current
        self._is_last = is_last
        self._request: CallerRequest | None = None
        self._answer: CallerAnswer | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._is_refused = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._usage.is_busy = True
        limits = self._options.limits()
        self._request = CallerRequest(
            start_line.method,
            start_line.path,
            strip_hop_headers(headers),
            self._options.clock.monotonic(),
            self._usage.requests,
            self._usage.connection,
        )
        self._answer = CallerAnswer(
            self._connection,
            start_line.method,
            self._is_last,
            start_line.version != "HTTP/1.0",
        )
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > limits.body_bytes:
            self._refuse_size(limits.body_bytes)

    def data_received(self, chunk: bytes) -> None:
        if self._is_refused:
            return
        self._size += len(chunk)
        self._parts.append(chunk)
        limits = self._options.limits()
        if self._size > limits.body_bytes:
            self._refuse_size(limits.body_bytes)

    def finish(self) -> None:
        if self._is_refused:
            return
        assert self._request is not None and self._answer is not None
        if self._connection.stream.closed():
            # Tornado still parses what it had read before the connection was closed.
            # The answer could not be sent, and the caller sends the request again.
            return
        self._request.body = b"".join(self._parts)
        self._options.handle(self._request, self._answer)

    def on_connection_close(self) -> None:
        self._parts.clear()

    def _refuse_size(self, limit: int) -> None:
        assert self._answer is not None
        self._is_refused = True
        self._parts.clear()
        message = f"The body is over {limit} bytes; send less.\n".encode()
        headers = HTTPHeaders({"Content-Type": "text/plain"})
        self._answer.send(413, headers, message)
