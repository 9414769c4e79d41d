"""Caller connections: requests off the wire, and answers onto it.

The HTTP is tornado's; what is added are the operator's limits, which change while
connections are open, and a graceful end.
"""

import asyncio
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

SETTLE_STEP = timedelta(milliseconds=10)
"""Time between two looks at connections that are about to end."""


@dataclass(frozen=True, slots=True)
class CallerConnection:
    """A caller's connection, as the log names it."""

    number: int = 0
    """The first that the process has accepted is 1."""
    opened_at: timedelta = timedelta()
    """On the monotonic clock."""


@dataclass(slots=True)
class CallerRequest:
    """One request as it came."""

    method: str
    path: str
    """With the query, as it was sent."""
    headers: HTTPHeaders
    """Without those of the connection."""
    received_at: timedelta
    position: int = 1
    """Which request of its connection it is, the first being 1."""
    connection: CallerConnection = CallerConnection()
    body: bytes = b""

    def describe_connection(self) -> dict[str, int]:
        """Return for the log how it came: its connection, how old that was, its place.

        By these it shows whether a request came on a connection from before a stop.
        """
        age = self.received_at - self.connection.opened_at
        return {
            "connection": self.connection.number,
            "connection_ms": age // timedelta(milliseconds=1),
            "position": self.position,
        }


class CallerAnswer:
    """The answer to one request; says whether the caller is still there."""

    def __init__(
        self,
        connection: HTTP1Connection,
        method: str,
        is_last: Callable[[], bool] = lambda: False,
    ):
        """Take `is_last`: whether the connection ends with this answer."""
        self._connection = connection
        self._method = method
        self._is_last = is_last
        self._left: Callable[[], None] | None = None
        self.has_begun = False
        self.has_ended = False
        self.is_caller_gone = False

    def watch(self, left: Callable[[], None]) -> None:
        """Call back when the caller closes its connection before the answer's end."""
        self._left = left
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
        """Send the head of an answer whose length is not known."""
        self.has_begun = True
        if not self.is_caller_gone:
            self._write_head(status, headers, None)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a part; what is returned waits while the caller takes nothing in."""
        if self.is_caller_gone or self.has_ended:
            return None
        future = self._connection.write(data)
        return None if future.done() else future

    def end(self) -> None:
        """Send the end of an answer that was begun."""
        if not (self.is_caller_gone or self.has_ended):
            self._end()

    def abort(self) -> None:
        """Break off, so that the answer does not look whole."""
        self.has_ended = True
        self._connection.close()

    def _write_head(self, status: int, headers: HTTPHeaders, body: bytes | None):
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        if self._is_last():
            headers["Connection"] = "close"
        self._connection.write_headers(line, headers, body or None)

    def _end(self) -> None:
        self.has_ended = True
        self._left = None
        self._connection.finish()

    def _note_gone(self) -> None:
        self.is_caller_gone = True
        if self._left is not None and not self.has_ended:
            self._left()


@dataclass(slots=True)
class ConnectionOptions:
    """What the connections need of their process."""

    clock: Clock
    limits: Callable[[], CallerLimits]
    handle: Callable[[CallerRequest, CallerAnswer], None]


@dataclass(slots=True)
class _Usage:
    """How one connection is used."""

    current: HTTP1Connection
    """Of the request that is awaited, read or answered."""
    connection: CallerConnection
    requests: int = 0
    """Requests that came on it, with the one that is awaited."""
    is_busy: bool = False
    """Whether a request is being read or answered."""


class CallerConnections(HTTPServerConnectionDelegate):
    """Gives each request of each connection to the handler."""

    def __init__(self, options: ConnectionOptions):
        self._options = options
        self._is_ending = False
        self._open: dict[HTTP1ServerConnection, _Usage] = {}
        self._numbers = count(1)

    def end_keep_alive(self) -> None:
        """End each connection with its next answer.

        Guards against callers that go on using a connection of a gateway that stops.
        The library fixes whether a connection is kept when it begins to wait for a
        request, so that those which wait are told as well.
        """
        self._is_ending = True
        for usage in self._open.values():
            usage.current.no_keep_alive = True

    def close_idle(self) -> int:
        """Close the connections on which no request is being read or answered.

        A request that crosses the close was not read, and its caller sends it anew.
        Guards against closing one whose bytes were read and are not looked at yet: the
        library is not waiting for bytes then. Its caller would get no word.
        """
        idle = [
            connection
            for connection, usage in self._open.items()
            if not usage.is_busy and connection.stream.reading()
        ]
        for connection in idle:
            connection.stream.close()
        return len(idle)

    async def settle(self, limit: timedelta) -> None:
        """Wait until all that was read has its answer, and close the connections.

        Not longer than `limit`: some callers never send the rest of a request.
        """
        deadline = self._options.clock.monotonic() + limit
        while self._open and self._options.clock.monotonic() < deadline:
            self.close_idle()
            await asyncio.sleep(SETTLE_STEP.total_seconds())

    @property
    def count(self) -> int:
        """Return the connections that are open."""
        return len(self._open)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return what takes in the next request of a connection."""
        usage = self._open.get(server_conn)
        if usage is None:
            now = self._options.clock.monotonic()
            connection = CallerConnection(next(self._numbers), now)
            usage = self._open[server_conn] = _Usage(request_conn, connection)
        usage.current = request_conn
        usage.requests += 1
        usage.is_busy = False
        return _Reader(self._options, usage, lambda: self._is_ending)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget a connection."""
        self._open.pop(server_conn, None)


class _Reader(HTTPMessageDelegate):
    """Takes in one request, up to the limits."""

    def __init__(
        self,
        options: ConnectionOptions,
        usage: _Usage,
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
        self._answer = CallerAnswer(self._connection, start_line.method, self._is_last)
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
            # Tornado goes on with what it had read before the connection was closed.
            # Nobody would get the answer, and the caller sends the request anew.
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
