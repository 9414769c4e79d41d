"""Answers to callers, which are written to their connections."""

from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses

from .owned_connections import OwnedConnection

__all__ = ["CallerAnswer"]

WRITE_SIZE = 65_536
"""Bytes of a body that are written at a time."""


class CallerAnswer:
    """The answer to one request, and whether its caller is still connected."""

    def __init__(
        self,
        connection: HTTP1Connection,
        owner: OwnedConnection,
        method: str,
        is_last: Callable[[], bool] = lambda: False,
        knows_chunks: bool = True,
    ):
        """Take `is_last`: returns whether this is the connection's last answer.

        Callers of HTTP/1.0 don't know chunks: a stream ends with their connection.
        """
        self._connection = connection
        self._owner = owner
        self.pace = owner.pace
        """What is held for the caller; None without a limit of memory."""
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

    @property
    def _is_closed(self) -> bool:
        """Return whether the connection is closed, which is noted a moment later.

        Tornado must not be given a part then while an earlier one is not written.
        """
        return self._connection.stream.closed()

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""
        if self.is_caller_gone or self.has_ended:
            return
        if self._method == "HEAD":
            # Tornado closes the connection of a HEAD request that is given a body.
            body = b""
        elif status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        self._begin()
        if len(body) <= WRITE_SIZE:
            self._write_head(status, headers, body)
        else:
            self._write_head(status, headers, None)
            self._write_parts(body)
        self._end()

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of an answer of unknown length."""
        self._begin()
        if self.is_caller_gone:
            return
        if not self._knows_chunks:
            # Tornado would keep a connection of HTTP/1.0 open if its caller asks so.
            self._connection._disconnect_on_finish = True
        self._write_head(status, headers, None)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a part; returns what to await if the caller is slow to read, or None."""
        if self.is_caller_gone or self.has_ended or self._is_closed:
            return None
        future = self._connection.write(data)
        if future.done():
            return None
        return future if self.pace is None else self.pace.find_wait()

    def end(self) -> None:
        """Send the end of an answer that was begun."""
        if not (self.is_caller_gone or self.has_ended):
            self._end()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self.has_ended = True
        if not self._connection.stream.closed():
            self._owner.note_close("answer_aborted")
        if not self._knows_chunks:
            self._owner.reset_on_close()
        self._connection.close()

    def _write_parts(self, body: bytes) -> None:
        """Write a large body, each part of which is freed once it was written."""
        for start in range(0, len(body), WRITE_SIZE):
            if not self._is_closed:
                self._connection.write(body[start : start + WRITE_SIZE])

    def _write_head(self, status: int, headers: HTTPHeaders, body: bytes | None):
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        if self._is_last():
            headers["Connection"] = "close"
        self._connection.write_headers(line, headers, body or None)

    def _begin(self) -> None:
        self.has_begun = True
        self._owner.note_answer_begun()

    def _end(self) -> None:
        self.has_ended = True
        self._on_caller_gone = None
        self._owner.note_answer_ended()
        self._connection.finish()

    def _note_gone(self) -> None:
        self.is_caller_gone = True
        if self._on_caller_gone is not None and not self.has_ended:
            self._on_caller_gone()
