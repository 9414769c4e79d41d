"""One HTTP/1.1 request over a connection, and the answer to it."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from mustardquay.streams import (
    Framing,
    find_framing,
    has_no_body,
    is_informational,
    is_status,
)

from ..unread_bytes import has_unread_bytes
from ..upstream_streams import UpstreamStream

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_DROPPED_BYTES",
    "AnswerHead",
    "Exchange",
    "ExchangeEnd",
]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest body of one answer."""
MAX_DROPPED_BYTES = 64 * 1024
"""Largest body of an answer that is not passed on; none of them says much."""
MAX_INFORMATIONAL = 8
"""Informational heads (1xx) before an answer."""
START_LINE = re.compile(r"HTTP/\d\.\d \d{3}")
"""The start of an answer's first line."""


class ExchangeEnd:
    """How an exchange ended; plain strings, as they are logged."""

    WHOLE = "whole"
    NOT_CONNECTED = "not_connected"
    """The connection was refused, or the address is not reachable."""
    CONNECT_TIMED_OUT = "connect_timed_out"
    """The attempt to connect got no reply in time."""
    NO_ROOM = "no_room"
    """The limit of connections is reached, of the pool or of the whole process."""
    BROKEN = "broken"
    MALFORMED = "malformed"
    INCOMPLETE = "incomplete"
    """The answer ended, but a part of its content is missing."""
    CANCELLED = "cancelled"
    NOT_ALLOWED = "not_allowed"
    """The request must not be sent any more; nothing was sent."""


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


class Exchange(HTTPMessageDelegate):
    """One request and the answer to it."""

    def __init__(
        self,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes = b"",
        is_expected: Callable[[AnswerHead], bool] = lambda head: True,
        receive: Callable[["Exchange", bytes], Awaitable[None] | None] | None = None,
        may_send: Callable[[], bool] = lambda: True,
        is_complete: Callable[["Exchange"], bool] = lambda exchange: True,
        request_id: str = "",
    ):
        """Take the request; `headers` is complete except for the length.

        `is_expected` returns whether an answer belongs to this request; others are
        skipped. `receive` gets the body in parts; without it the body is buffered.
        `may_send` is asked right before the first byte is sent, and `is_complete`
        about the content of an answer that has ended by its framing. `request_id` is
        what answers to it name; empty if they name nothing.
        """
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self._is_expected = is_expected
        self._receive = receive
        self.may_send = may_send
        self.request_id = request_id
        self.is_complete = is_complete
        self._parts: list[bytes] = []
        self._skipping = False
        self._stream: UpstreamStream | None = None
        self.head: AnswerHead | None = None
        self.was_sent = False
        """Whether a byte of the request may have been sent."""
        self.is_whole = False
        self.skipped = False
        self.framing = Framing.CONNECTION
        self.is_persistent = True
        """Whether the answer's version of HTTP keeps connections open."""
        self.was_reused = False
        """Whether the connection had been used before."""
        self.cancelled = False
        self.body_limit = MAX_ANSWER_BYTES
        """Largest body of the answer; more than that is no answer."""
        self.declared_length = 0
        """Length of the body by the head of the answer, 0 without one."""
        self._received = 0
        self._informational = 0
        self.is_spoilt = False
        """Whether bytes came that are no answer."""

    @property
    def content(self) -> bytes:
        """Return the body of the answer, as far as it was buffered."""
        return b"".join(self._parts)

    @property
    def ended_connection(self) -> bool:
        """Return whether the end of the connection was that of the answer."""
        is_closed = self._stream is not None and self._stream.closed()
        return self.framing is Framing.CONNECTION and is_closed

    @property
    def has_unread_data(self) -> bool:
        """Return whether data of the peer are there that were not handled yet."""
        stream = self._stream
        if stream is None or stream.closed():
            return False
        return stream._read_buffer_size > 0 or has_unread_bytes(stream.socket)

    def attach(self, stream: UpstreamStream) -> None:
        """Set the connection that `cancel` closes."""
        self._stream = stream

    def cancel(self) -> None:
        """Close the connection, so that the peer cancels its work."""
        self.cancelled = True
        if self._stream is not None:
            self._stream.close()

    def spoil(self) -> None:
        """Close a connection whose bytes are no answer."""
        self.is_spoilt = True
        if self._stream is not None:
            self._stream.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the head of an answer."""
        assert isinstance(start_line, ResponseStartLine)
        is_answer = is_status(start_line.code)
        if is_answer and is_informational(start_line.code):
            self._count_informational()
            return
        if not is_answer or _holds_another_start(start_line, headers):
            self.spoil()
            return
        self._received = 0
        self.body_limit = MAX_ANSWER_BYTES
        self.framing = find_framing(headers)
        self.declared_length = self._find_length(headers)
        self.is_persistent = start_line.version != "HTTP/1.0"
        head = AnswerHead(start_line.code, start_line.reason, headers)
        self._skipping = not self._is_expected(head)
        if self._skipping:
            self.body_limit = MAX_DROPPED_BYTES
        else:
            self.head = head
        if self._skips_all or self.declared_length > self.body_limit:
            self.spoil()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a part of the body."""
        self._received += len(chunk)
        if self._received > self.body_limit:
            self.spoil()
        if self._skipping or self.is_spoilt:
            return None
        if self._receive is not None:
            return self._receive(self, chunk)
        self.keep(chunk)
        return None

    def keep(self, data: bytes) -> None:
        """Buffer a part of the body for `content`."""
        self._parts.append(data)

    def take(self) -> bytes:
        """Return what was buffered of the body, and buffer it no longer."""
        content = self.content
        self._parts.clear()
        return content

    def finish(self) -> None:
        """Handle the end of an answer."""
        if self.is_spoilt:
            return
        if self._skipping:
            self.skipped = True
        else:
            self.is_whole = self.head is not None and self._shows_its_end(self.head)

    def on_connection_close(self) -> None:
        """Do nothing; the answer stays incomplete."""

    @property
    def _skips_all(self) -> bool:
        """Return whether all that follows belongs to an answer that is skipped."""
        return self._skipping and self.framing is Framing.CONNECTION

    def _find_length(self, headers: HTTPHeaders) -> int:
        length = headers.get("Content-Length", "")
        has_length = self.framing is Framing.LENGTH and length.isdecimal()
        return int(length) if has_length else 0

    def _count_informational(self) -> None:
        self._informational += 1
        if self._informational > MAX_INFORMATIONAL:
            self.spoil()

    def _shows_its_end(self, head: AnswerHead) -> bool:
        """Return whether an answer that has ended shows that nothing is missing."""
        if self.framing is not Framing.CONNECTION:
            return True
        if self.cancelled:
            return False
        if has_no_body(self.method, head.status):
            return True
        return self._stream is not None and self._stream.ended_in_order


def _holds_another_start(start_line: ResponseStartLine, headers: HTTPHeaders) -> bool:
    """Return whether a head holds the first line of another answer.

    An answer that is cut in its head runs into the next one, whose headers would then
    count as its own.
    """
    values = [start_line.reason, *(value for _, value in headers.get_all())]
    return any(START_LINE.search(value) for value in values)
