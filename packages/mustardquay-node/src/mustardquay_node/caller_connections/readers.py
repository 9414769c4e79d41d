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
from mustardquay.memory_limits import COUNTED_SIZE
from mustardquay.request_ownership import ConnectionPhase
from mustardquay.routing_tables import CallerLimits

from ..hop_headers import strip_hop_headers
from ..memory_guards import MemoryGuard
from .answers import CallerAnswer
from .owned_connections import OwnedConnection
from .paces import CallerPace
from .requests import CallerRequest

__all__ = ["ReaderOptions", "RequestReader"]

NO_MEMORY = b"Not run: memory; try again.\n"
"""Body of a refusal near the limit of memory."""


@dataclass(frozen=True, slots=True)
class ReaderOptions:
    """Dependencies of the reader of one request."""

    clock: Clock
    limits: Callable[[], CallerLimits]
    handle: Callable[[CallerRequest, CallerAnswer], None]
    is_last: Callable[[], bool]
    """Returns whether an answer that begins is the last one of its connection."""
    memory: MemoryGuard | None = None
    """Limits what is held for slow callers; None for no limit."""


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
        self._lacks_memory = False

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
        elif self._options.memory is not None:
            self._reserve_memory(self._options.memory, headers, length)

    def data_received(self, chunk: bytes) -> None:
        """Note a part of the body, and refuse one that is too long."""
        if self._is_refused:
            return
        self._size += len(chunk)
        self._parts.append(chunk)
        limits = self._options.limits()
        if self._size > limits.body_bytes:
            self._refuse_size(limits.body_bytes)
        elif self._size > COUNTED_SIZE and self._owner.pace is not None:
            self._count_body(self._owner.pace)

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
        if self._lacks_memory:
            self._refuse_memory()
            return
        request, self._request = self._request, None
        request.body = b"".join(self._parts)
        # Tornado keeps this reader until the answer is written.
        self._parts.clear()
        if self._size > COUNTED_SIZE and self._owner.pace is not None:
            self._owner.pace.held.end_body(self._size)
        self._options.handle(request, self._answer)

    def on_connection_close(self) -> None:
        """Drop a request whose connection was closed before its end."""
        self._parts.clear()

    def _reserve_memory(
        self, memory: MemoryGuard, headers: HTTPHeaders, length: str
    ) -> None:
        """Reserve memory for a body, or refuse the request if there is none left."""
        held = self._owner.pace.held
        held.deadline = None
        size = int(length) if length.isdecimal() else 0
        if memory.admits(size):
            if size > COUNTED_SIZE:
                held.begin_body(size, self._options.clock.monotonic())
            return
        self._lacks_memory = True
        if size or "Transfer-Encoding" in headers:
            # The connection is closed after it, as the body is not read.
            self._refuse_memory(size, closes=True)

    def _count_body(self, pace: CallerPace) -> None:
        """Count a part of a body; refuse one of unknown length near the limit."""
        is_over = self._size > pace.held.total and not pace.guard.has_room_for_body()
        pace.held.note_body(self._size)
        if is_over:
            self._refuse_memory(self._size, closes=True)

    def _refuse_memory(self, size: int = 0, closes: bool = False) -> None:
        """Answer that the request is not run, as the process is near its limit."""
        memory, owner = self._options.memory, self._owner
        assert memory is not None and self._answer is not None
        self._is_refused = True
        self._parts.clear()
        if owner.pace is not None:
            owner.pace.held.end_request()
        if owner.ownership.phase not in (
            ConnectionPhase.READING,
            ConnectionPhase.OWNED,
        ):
            return
        now = self._options.clock.monotonic()
        details = owner.identity.describe(now, owner.position)
        retry_after = memory.note_refusal(size, **details).total_seconds()
        fields = {"Content-Type": "text/plain", "Retry-After": f"{retry_after:.2f}"}
        if closes:
            fields["Connection"] = "close"
        self._answer.send(503, HTTPHeaders(fields), NO_MEMORY)

    def _refuse_size(self, limit: int) -> None:
        assert self._answer is not None
        self._is_refused = True
        self._parts.clear()
        if self._owner.ownership.phase is not ConnectionPhase.READING:
            return
        message = f"The body is over {limit} bytes; send less.\n".encode()
        headers = HTTPHeaders({"Content-Type": "text/plain"})
        self._answer.send(413, headers, message)
