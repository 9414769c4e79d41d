"""Upstreams: HTTP calls from an agent to its engine or plain service.

Connections are reused for idempotent calls. A non-repeatable call always uses a new
connection: if a reused one was closed, or its state dropped by a device in between, it
would be unknown whether the call was run.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from enum import StrEnum
from urllib.parse import urlsplit

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from mustardquay.messages import Header
from mustardquay.streams import (
    Framing,
    find_framing,
    has_no_body,
    is_informational,
    is_status,
)

from .hop_headers import HOP_HEADERS
from .unread_bytes import has_unread_bytes
from .upstream_streams import UpstreamStream

__all__ = ["CallResult", "UpstreamCall", "UpstreamClient"]

CONNECT_TIMEOUT = timedelta(seconds=2)
IDLE_LIMIT = timedelta(seconds=15)
"""Connections that were idle for longer are closed and not reused."""
IDLE_CONNECTIONS = 64
ANSWER_LIMIT = 1024 * 1024 * 1024
"""Maximum bytes of one answer; the limit for callers is enforced by the entry."""


class CallResult(StrEnum):
    """How a call ended."""

    NOT_SENT = "not_sent"
    """No byte was sent, so the upstream can't have run the call."""
    COMPLETE = "whole"
    BROKEN = "broken"
    """The connection ended before the answer was complete."""


class AgentStream(UpstreamStream):
    """A connection whose socket stays registered with the event loop between reads.

    Tornado makes three reads for each chunk of an answer. It unregisters the socket
    after the first one and registers it again for the last: two system calls and a new
    handle for each token, over a third of the cost of reading it.
    """

    def __init__(self, connection: socket.socket):
        super().__init__(connection)
        self.read_paused = False
        """Whether the receiver can't accept more data now, so nothing is read ahead."""

    def reading(self) -> bool:
        """Return whether the socket should stay registered for reading."""
        return not self.read_paused or super().reading()


class UpstreamCall(HTTPMessageDelegate):
    """One call: the request and the callbacks that receive the answer."""

    def __init__(
        self,
        method: str,
        path: str,
        headers: Sequence[Header],
        body: bytes,
        on_head: Callable[[int, tuple[Header, ...]], None],
        on_data: Callable[[bytes], Awaitable[None] | None],
        on_send: Callable[[], None] = lambda: None,
    ):
        """Set the request and the callbacks for the answer's head and body.

        `on_send` is called once the connection is open, just before the first byte is
        sent.
        """
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self._on_head = on_head
        self._on_data = on_data
        self._on_send = on_send
        self._stream: AgentStream | None = None
        self.answered = False
        """Whether the head of the answer has been received."""
        self.whole = False
        self._framing = Framing.CONNECTION
        self._has_no_body = False
        self.reusable = True
        self.cancelled = False

    def attach(self, stream: AgentStream) -> None:
        """Set the connection of the call."""
        if self._stream is None:
            self._on_send()
        self._stream = stream

    def cancel(self) -> None:
        """Close the connection, which ends the call as `BROKEN`.

        A call that has no connection yet is never sent and ends as `NOT_SENT`.
        """
        self.cancelled = True
        self._close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Pass on the head without its hop-by-hop headers."""
        assert isinstance(start_line, ResponseStartLine)
        if not is_status(start_line.code):
            self._close()
            return
        if is_informational(start_line.code):
            return
        self.answered = True
        self._framing = find_framing(headers)
        self._has_no_body = has_no_body(self.method, start_line.code)
        self.reusable = headers.get("Connection", "").lower() != "close"
        kept = tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in HOP_HEADERS
        )
        self._on_head(start_line.code, kept)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk of the body; wait while the receiver can't accept more."""
        if not self.answered:
            return None
        waiting = self._on_data(chunk)
        return None if waiting is None else self._pause_reading(waiting)

    def finish(self) -> None:
        """Mark the answer as complete, unless its connection was reset instead."""
        self.whole = self.answered and self._shows_its_end()

    def _shows_its_end(self) -> bool:
        """Return whether an answer that has ended shows that nothing is missing."""
        if self._framing is not Framing.CONNECTION:
            return True
        if self.cancelled or self._stream is None:
            return False
        return self._has_no_body or self._stream.ended_in_order

    def on_connection_close(self) -> None:
        """Do nothing: the answer stays marked as incomplete."""

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def _pause_reading(self, waiting: Awaitable[None]) -> None:
        # Backpressure: reading ahead, a long answer to a slow caller would fill this
        # process's memory, and the engine would not slow down.
        assert self._stream is not None
        self._stream.read_paused = True
        try:
            await waiting
        finally:
            self._stream.read_paused = False


class UpstreamClient:
    """Calls one upstream over a pool of connections."""

    def __init__(self, url: str):
        parts = urlsplit(url)
        self._address = parts.hostname or ""
        self._port = parts.port or 80
        self._host = parts.netloc
        self._idle: deque[tuple[AgentStream, float]] = deque()
        self._parameters = HTTP1ConnectionParameters(max_body_size=ANSWER_LIMIT)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[0].close()

    async def run(self, call: UpstreamCall, fresh: bool) -> CallResult:
        """Send the call and pass on its answer; `fresh` requires a new connection."""
        stream = None if fresh else self._take_idle()
        kept = stream is not None
        if stream is None:
            stream = await self._connect()
        if stream is None:
            return CallResult.NOT_SENT
        if call.cancelled:
            self._keep(call, stream)
            return CallResult.NOT_SENT
        await self._exchange(call, stream)
        if call.whole:
            self._keep(call, stream)
            return CallResult.COMPLETE
        stream.close()
        if kept and not call.answered and not call.cancelled:
            # The upstream may have closed a reused connection just before the call was
            # sent, which looks like a crash. The call is idempotent, so it is retried
            # once over a new connection.
            return await self._run_again(call)
        return CallResult.BROKEN

    async def _run_again(self, call: UpstreamCall) -> CallResult:
        end = await self.run(call, fresh=True)
        return CallResult.BROKEN if end is CallResult.NOT_SENT else end

    def _take_idle(self) -> AgentStream | None:
        oldest = asyncio.get_running_loop().time() - IDLE_LIMIT.total_seconds()
        while self._idle:
            stream, since = self._idle.pop()
            if since >= oldest and not _has_foreign_bytes(stream):
                return stream
            stream.close()
        return None

    def _keep(self, call: UpstreamCall, stream: AgentStream) -> None:
        if _has_foreign_bytes(stream):
            stream.close()
            return
        if not call.reusable or len(self._idle) >= IDLE_CONNECTIONS:
            stream.close()
            return
        self._idle.append((stream, asyncio.get_running_loop().time()))

    async def _connect(self) -> AgentStream | None:
        family = socket.AF_INET6 if ":" in self._address else socket.AF_INET
        stream = AgentStream(socket.socket(family))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                await stream.connect((self._address, self._port))
        except (OSError, StreamClosedError, TimeoutError):
            stream.close()
            return None
        stream.set_nodelay(True)
        return stream

    async def _exchange(self, call: UpstreamCall, stream: AgentStream) -> None:
        call.attach(stream)
        connection = HTTP1Connection(stream, True, self._parameters)
        headers = HTTPHeaders({"Host": self._host})
        for name, value in call.headers:
            if name.lower() not in HOP_HEADERS:
                headers.add(name, value)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(call.body))
        line = RequestStartLine(call.method, call.path, "")
        try:
            connection.write_headers(line, headers, call.body)
            connection.finish()
            await connection.read_response(call)
        except (OSError, StreamClosedError):
            return


def _has_foreign_bytes(stream: AgentStream) -> bool:
    """Return whether bytes came between two calls, or the connection is closed.

    They belong to no call, and would be taken for the answer to the next one.
    """
    if stream.closed() or stream._read_buffer_size > 0:
        return True
    return has_unread_bytes(stream.socket)
