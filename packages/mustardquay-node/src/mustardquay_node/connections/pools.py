"""Pools of connections to one address, with a timeout on every wait.

A connection carries one exchange at a time. Bytes that a peer sends beyond its answer
make the connection unusable; an answer to another request is skipped.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from socket import socket

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPInputError, RequestStartLine
from tornado.iostream import StreamClosedError

from mustardquay.clocks import Clock
from mustardquay.silences import ConnectResult
from mustardquay.streams import Framing

from ..client_sockets import classify_connect_error, make_socket
from ..pauses import running_timeout
from ..request_writing import write_request
from ..unread_bytes import has_unread_bytes
from ..upstream_streams import UpstreamStream
from .exchanges import MAX_ANSWER_BYTES, Exchange, ExchangeEnd

__all__ = ["ConnectionPool", "split_address"]

CONNECT_TIMEOUT = timedelta(milliseconds=250)
"""Connecting takes some 2 ms. A lost first packet is retransmitted only after a second,
by which time another attempt has succeeded."""
MAX_SKIPPED_ANSWERS = 2
"""Answers to earlier requests that are skipped before the expected one."""

FAILED_CONNECTS = {
    ConnectResult.REFUSED: ExchangeEnd.NOT_CONNECTED,
    ConnectResult.TIMED_OUT: ExchangeEnd.CONNECT_TIMED_OUT,
}


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address such as `10.0.0.1:80`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection that waits for its next exchange."""

    stream: UpstreamStream
    since: timedelta
    request_id: str
    """Request of its last exchange; empty for none."""


class ConnectionPool:
    """Connections to one address; the most recently used is reused first."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        limit: int,
        idle_limit: timedelta,
        free_descriptors: Callable[[], bool] = lambda: False,
        open_socket: Callable[[], socket | None] = make_socket,
    ):
        """Take the address; connections idle for over `idle_limit` aren't reused.

        `free_descriptors` closes idle connections of the process, and returns whether
        there were any. `open_socket` returns None if there are no descriptors left.
        """
        self._open_socket = open_socket
        self._address = split_address(address)
        self._clock = clock
        self._limit = limit
        self._idle_limit = idle_limit
        self._free_descriptors = free_descriptors
        self._idle: deque[_IdleConnection] = deque()
        self._open = 0
        self._parameters = HTTP1ConnectionParameters(max_body_size=MAX_ANSWER_BYTES)

    def close(self) -> None:
        """Close the idle connections; those in use end with their exchange."""
        self.close_idle()

    def close_idle(self) -> int:
        """Close the idle connections; returns how many."""
        count = len(self._idle)
        while self._idle:
            self._drop(self._idle.pop().stream)
        return count

    async def run(self, exchange: Exchange, idle_limit: timedelta | None = None) -> str:
        """Send the request and receive the answer; returns an `ExchangeEnd`.

        A lower `idle_limit` is for requests that must not be repeated: on a connection
        that the peer is closing, it can't be determined whether they were run.
        """
        try:
            return await self._run(exchange, idle_limit)
        finally:
            # Reference cycles keep an exchange for a while after its end.
            exchange.body = b""

    async def _run(self, exchange: Exchange, idle_limit: timedelta | None) -> str:
        stream = self._take_idle(idle_limit, exchange.request_id)
        exchange.was_reused = stream is not None
        if stream is None:
            opened = self._open_stream()
            if opened is None:
                return ExchangeEnd.NO_ROOM
            result = await self._connect(opened)
            if result is not ConnectResult.CONNECTED:
                return FAILED_CONNECTS[result]
            stream = opened
        if exchange.cancelled:
            self._release(stream)
            return ExchangeEnd.CANCELLED
        if not exchange.may_send():
            self._release(stream)
            return ExchangeEnd.NOT_ALLOWED
        exchange.attach(stream)
        may_keep = False
        try:
            end = await self._exchange(exchange, stream)
            may_keep = end is ExchangeEnd.WHOLE and _is_clean(exchange, stream)
            return end
        finally:
            if may_keep:
                self._release(stream, exchange.request_id)
            else:
                self._drop(stream)

    async def probe(self) -> ConnectResult:
        """Try to open a connection, which is kept for later requests."""
        stream = self._open_stream()
        if stream is None:
            return ConnectResult.NO_ROOM
        result = await self._connect(stream)
        if result is ConnectResult.CONNECTED:
            self._release(stream)
        return result

    def _release(self, stream: UpstreamStream, request_id: str = "") -> None:
        now = self._clock.monotonic()
        self._idle.append(_IdleConnection(stream, now, request_id))
        # Without a close callback, tornado does not notice that an idle socket closes.
        stream.set_close_callback(lambda: None)

    def _take_idle(
        self, idle_limit: timedelta | None, request_id: str
    ) -> UpstreamStream | None:
        """Return the connection that was used last and may carry a request.

        Not one that carried the same request: the id of a repeated answer would not
        tell which of the two sends it is for.
        """
        limit = self._idle_limit if idle_limit is None else idle_limit
        now = self._clock.monotonic()
        while self._idle and self._idle[0].since < now - self._idle_limit:
            self._drop(self._idle.popleft().stream)
        for idle in reversed(tuple(self._idle)):
            is_unusable = _is_unusable(idle.stream) or has_unread_bytes(
                idle.stream.socket
            )
            if is_unusable:
                self._idle.remove(idle)
                self._drop(idle.stream)
            elif idle.since < now - limit:
                return None
            elif not request_id or idle.request_id != request_id:
                self._idle.remove(idle)
                idle.stream.set_close_callback(None)
                return idle.stream
        return None

    def _make_room(self) -> bool:
        """Return whether another connection may be opened."""
        if self._open >= self._limit and self._idle:
            self._drop(self._idle.popleft().stream)
        return self._open < self._limit

    def _open_stream(self) -> UpstreamStream | None:
        """Return a stream that isn't connected yet, or None at the limit."""
        if not self._make_room():
            return None
        connection = self._open_socket()
        if connection is None and self._free_descriptors():
            connection = self._open_socket()
        return None if connection is None else UpstreamStream(connection)

    async def _connect(self, stream: UpstreamStream) -> ConnectResult:
        self._open += 1
        result = ConnectResult.REFUSED
        try:
            async with running_timeout(CONNECT_TIMEOUT):
                await stream.connect(self._address)
            stream.set_nodelay(True)
            result = ConnectResult.CONNECTED
        except TimeoutError:
            result = ConnectResult.TIMED_OUT
        except (OSError, StreamClosedError) as error:
            result = classify_connect_error(error)
        finally:
            if result is not ConnectResult.CONNECTED:
                self._drop(stream)
        return result

    def _drop(self, stream: UpstreamStream) -> None:
        self._open -= 1
        stream.set_close_callback(None)
        stream.close()

    async def _exchange(self, exchange: Exchange, stream: UpstreamStream) -> str:
        connection = HTTP1Connection(stream, True, self._parameters)
        line = RequestStartLine(exchange.method, exchange.path, "")
        exchange.was_sent = True
        try:
            write_request(connection, line, exchange.headers, exchange.body)
            for _ in range(MAX_SKIPPED_ANSWERS + 1):
                exchange.skipped = False
                await connection.read_response(exchange)
                if not exchange.skipped or stream.closed():
                    break
        except (OSError, StreamClosedError):
            is_spoilt = exchange.is_spoilt
            return ExchangeEnd.MALFORMED if is_spoilt else ExchangeEnd.BROKEN
        except (HTTPInputError, ValueError):
            return ExchangeEnd.MALFORMED
        if exchange.is_spoilt:
            return ExchangeEnd.MALFORMED
        if not exchange.is_whole:
            return ExchangeEnd.BROKEN
        is_complete = exchange.is_complete(exchange)
        return ExchangeEnd.WHOLE if is_complete else ExchangeEnd.INCOMPLETE


def _is_clean(exchange: Exchange, stream: UpstreamStream) -> bool:
    """Return whether the connection may carry another exchange.

    An upstream may answer before it has read the whole body and read the rest later; it
    would then take the bytes of the next request for the rest of that body.
    """
    assert exchange.head is not None
    connection = exchange.head.headers.get("Connection", "").lower()
    return (
        "close" not in connection
        and exchange.is_persistent
        and exchange.framing is not Framing.CONNECTION
        and not stream.writing()
        and not _is_unusable(stream)
    )


def _is_unusable(stream: UpstreamStream) -> bool:
    # Buffered bytes while no request is pending belong to no answer.
    return stream.closed() or stream._read_buffer_size > 0
