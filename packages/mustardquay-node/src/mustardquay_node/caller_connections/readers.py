"""Readers: tornado passes the parts of a request to them as it parses them."""

from collections.abc import Callable
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from mustardquay.clocks import Clock
from mustardquay.request_ownership import ConnectionPhase
from mustardquay.routing_tables import CallerLimits

from ..hop_headers import strip_hop_headers
from .answers import CallerAnswer
from .owned_connections import OwnedConnection
from .requests import CallerRequest

__all__ = ["ReaderOptions", "RequestReader"]


@dataclass(frozen=True, slots=True)
class ReaderOptions:
    """Dependencies of the reader of one request."""

    clock: Clock
    limits: Callable[[], CallerLimits]
    handle: Callable[[CallerRequest, CallerAnswer], None]
    is_last: Callable[[], bool]
    """Returns whether an answer that begins is the last one of its connection."""


class RequestReader(HTTPMessageDelegate):
    """Reads one request, within the limits."""

    def __init__(
        self,
        options: ReaderOptions,
        owner: OwnedConnection,
        connection: HTTP1Connection,
    ):
        self._options = options
        self._owner = owner
        self._connection = connection
        self._request: CallerRequest | None = None
        self._answer: CallerAnswer | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._is_refused = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Note the header, and refuse a body that is announced as too long."""
        assert isinstance(start_line, RequestStartLine)
        self._owner.note_header()
        limits = self._options.limits()
        self._request = CallerRequest(
            start_line.method,
            start_line.path,
            strip_hop_headers(headers),
            self._options.clock.monotonic(),
            self._owner.position,
            self._owner.identity,
        )
        self._answer = CallerAnswer(
            self._connection,
            self._owner,
            start_line.method,
            self._options.is_last,
            start_line.version != "HTTP/1.0",
        )
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > limits.body_bytes:
            self._refuse_size(limits.body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Note a part of the body, and refuse one that is too long."""
        if self._is_refused:
            return
        self._size += len(chunk)
        self._parts.append(chunk)
        limits = self._options.limits()
        if self._size > limits.body_bytes:
            self._refuse_size(limits.body_bytes)

    def finish(self) -> None:
        """Pass the request to its handler."""
        if self._is_refused:
            return
        assert self._request is not None and self._answer is not None
        if self._connection.stream.closed():
            # Tornado still parses what it had read before the connection was closed.
            # The answer could not be sent, and the caller sends the request again.
            return
        if not self._owner.ownership.note_whole():
            # It was refused before its last byte was read.
            return
        self._request.body = b"".join(self._parts)
        self._options.handle(self._request, self._answer)

    def on_connection_close(self) -> None:
        """Drop a request whose connection was closed before its end."""
        self._parts.clear()

    def _refuse_size(self, limit: int) -> None:
        assert self._answer is not None
        self._is_refused = True
        self._parts.clear()
        if self._owner.ownership.phase is not ConnectionPhase.READING:
            return
        message = f"The body is over {limit} bytes; send less.\n".encode()
        headers = HTTPHeaders({"Content-Type": "text/plain"})
        self._answer.send(413, headers, message)
