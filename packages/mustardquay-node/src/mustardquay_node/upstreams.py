"""Upstreams: HTTP calls from an agent to the engine or plain service beside it.

Connections are kept and used again for idempotent calls. A call that must not be
repeated always gets a new connection: on a kept one that was closed or forgotten
in the meantime, nobody could tell whether the call was run.
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
from tornado.iostream import IOStream, StreamClosedError

from mustardquay.messages import Header

from .hop_headers import HOP_HEADERS

__all__ = ["CallEnd", "UpstreamCall", "UpstreamClient"]

CONNECT_TIMEOUT = timedelta(seconds=2)
IDLE_LIMIT = timedelta(seconds=15)
"""Kept connections that were idle for longer are closed, not used."""
IDLE_CONNECTIONS = 64
ANSWER_LIMIT = 1024 * 1024 * 1024
"""Bytes of one answer; the entry's own limit is what counts for callers."""


class CallEnd(StrEnum):
    """How a call ended."""

    NOT_SENT = "not_sent"
    """No byte was sent; the upstream can't have run it."""
    WHOLE = "whole"
    BROKEN = "broken"
    """The connection ended before the answer did."""


class UpstreamStream(IOStream):
    """A connection whose socket stays watched between two reads.

    Tornado takes three reads for a chunk of an answer, and after the first it stops
    watching the socket and starts again at the last: two system calls and a new
    handle for each token, over a third of what reading it takes.
    """

    def __init__(self, connection: socket.socket):
        super().__init__(connection)
        self.held_back = False
        """Whether the reader can't take more now, so that nothing is read ahead."""

    def reading(self) -> bool:
        """Return whether the socket is to be watched."""
        return not self.held_back or super().reading()


class UpstreamCall(HTTPMessageDelegate):
    """One call: what to send, and whom to tell of the answer."""

    def __init__(
        self,
        method: str,
        path: str,
        headers: Sequence[Header],
        body: bytes,
        head: Callable[[int, tuple[Header, ...]], None],
        data: Callable[[bytes], Awaitable[None] | None],
        sending: Callable[[], None] = lambda: None,
    ):
        """Take the request, and the receivers of the answer's head and body.

        `sending` is called when a connection stands, just before the first byte.
        """
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self._head = head
        self._data = data
        self._sending = sending
        self._stream: UpstreamStream | None = None
        self.answered = False
        """Whether the head of the answer has come."""
        self.whole = False
        self.reusable = True
        self.cancelled = False

    def attach(self, stream: UpstreamStream) -> None:
        """Note the connection that carries the call."""
        if self._stream is None:
            self._sending()
        self._stream = stream

    def cancel(self) -> None:
        """Close the connection, which ends the call as broken.

        A call that has no connection yet gets none, and ends as not sent.
        """
        self.cancelled = True
        if self._stream is not None:
            self._stream.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Pass on the head, without the headers of the connection."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return
        self.answered = True
        self.reusable = headers.get("Connection", "").lower() != "close"
        kept = tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in HOP_HEADERS
        )
        self._head(start_line.code, kept)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body; waits while the receiver can't take more."""
        waiting = self._data(chunk)
        return None if waiting is None else self._hold_back(waiting)

    def finish(self) -> None:
        """Note the end of the answer."""
        self.whole = self.answered

    def on_connection_close(self) -> None:
        """Leave the answer as broken."""

    async def _hold_back(self, waiting: Awaitable[None]) -> None:
        # Read ahead, a long answer to a slow caller would fill this process's
        # memory; the engine has to feel that nobody takes it.
        assert self._stream is not None
        self._stream.held_back = True
        try:
            await waiting
        finally:
            self._stream.held_back = False


class UpstreamClient:
    """Calls one upstream over connections that it keeps."""

    def __init__(self, url: str):
        parts = urlsplit(url)
        self._address = parts.hostname or ""
        self._port = parts.port or 80
        self._host = parts.netloc
        self._idle: deque[tuple[UpstreamStream, float]] = deque()
        self._parameters = HTTP1ConnectionParameters(max_body_size=ANSWER_LIMIT)

    def close(self) -> None:
        """Close the connections that are kept."""
        while self._idle:
            self._idle.pop()[0].close()

    async def run(self, call: UpstreamCall, fresh: bool) -> CallEnd:
        """Send the call and pass on its answer; `fresh` for a new connection."""
        stream = None if fresh else self._take_idle()
        kept = stream is not None
        if stream is None:
            stream = await self._connect()
        if stream is None:
            return CallEnd.NOT_SENT
        if call.cancelled:
            self._keep(call, stream)
            return CallEnd.NOT_SENT
        await self._exchange(call, stream)
        if call.whole:
            self._keep(call, stream)
            return CallEnd.WHOLE
        stream.close()
        if kept and not call.answered and not call.cancelled:
            # A kept connection may have been closed by the other end just before
            # it was used, which looks like a crash. The call is idempotent, so it
            # may be sent once more over a new one.
            return await self._run_again(call)
        return CallEnd.BROKEN

    async def _run_again(self, call: UpstreamCall) -> CallEnd:
        end = await self.run(call, fresh=True)
        return CallEnd.BROKEN if end is CallEnd.NOT_SENT else end

    def _take_idle(self) -> UpstreamStream | None:
        oldest = asyncio.get_running_loop().time() - IDLE_LIMIT.total_seconds()
        while self._idle:
            stream, since = self._idle.pop()
            if since >= oldest and not stream.closed():
                return stream
            stream.close()
        return None

    def _keep(self, call: UpstreamCall, stream: UpstreamStream) -> None:
        if stream.closed():
            return
        if not call.reusable or len(self._idle) >= IDLE_CONNECTIONS:
            stream.close()
            return
        self._idle.append((stream, asyncio.get_running_loop().time()))

    async def _connect(self) -> UpstreamStream | None:
        family = socket.AF_INET6 if ":" in self._address else socket.AF_INET
        stream = UpstreamStream(socket.socket(family))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                await stream.connect((self._address, self._port))
        except (OSError, StreamClosedError, TimeoutError):
            stream.close()
            return None
        stream.set_nodelay(True)
        return stream

    async def _exchange(self, call: UpstreamCall, stream: UpstreamStream) -> None:
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
