"""Owned connections: a caller's connection and who owes an answer on it."""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.request_ownership import (
    ClosingStep,
    ConnectionPhase,
    Occasion,
    RequestOwnership,
    decide_step,
)

from ..unread_bytes import has_unread_bytes
from .lingering import Lingerer
from .paces import CallerPace
from .requests import CallerConnection
from .streams import CallerStream

__all__ = ["ConnectionDependencies", "OwnedConnection"]

RETRY_AFTER = timedelta(milliseconds=250)
"""Retry-After of a request that was not received to its end."""
WITH_ANSWER = (ConnectionPhase.READING, ConnectionPhase.FLUSHING)
"""Phases in which an answer may have been written: to a request, or by tornado to what
is none."""
STALLED_OCCASIONS = (Occasion.MEMORY, Occasion.UNREAD)
"""Occasions on which what the kernel holds for the caller is dropped too."""
UNEXPECTED = "unexpected"
"""Reason of a close by tornado, which answers what it can't parse."""


@dataclass(frozen=True, slots=True)
class ConnectionDependencies:
    """Dependencies of each connection."""

    clock: Clock
    events: EventRing
    lingerer: Lingerer
    note_phase: Callable[["OwnedConnection"], None]
    """Called when a connection has changed between waiting and reading."""
    note_header: Callable[["OwnedConnection"], None]
    note_closed: Callable[["OwnedConnection"], None]
    make_pace: Callable[[], CallerPace | None] = lambda: None
    """Returns the pace of a new connection, None without a limit of memory."""
    note_answered: Callable[["OwnedConnection"], None] = lambda connection: None
    """Called when an answer begins, if there is a limit of memory."""


class OwnedConnection:
    """One connection of a caller, from its accept to its close."""

    def __init__(self, deps: ConnectionDependencies, number: int):
        self._deps = deps
        self._identity = CallerConnection(number, deps.clock.monotonic())
        self._ownership = RequestOwnership()
        self._position = 0
        self._has_header = False
        self._is_close_logged = False
        self._stream: CallerStream | None = None
        self._pace = deps.make_pace()

    @property
    def identity(self) -> CallerConnection:
        """Return how the connection is named in the log."""
        return self._identity

    @property
    def ownership(self) -> RequestOwnership:
        """Return who owes an answer."""
        return self._ownership

    @property
    def pace(self) -> CallerPace | None:
        """Return what the connection holds; None without a limit of memory."""
        return self._pace

    @property
    def position(self) -> int:
        """Return the position of the request that is awaited, read or answered."""
        return self._position

    @property
    def stream(self) -> CallerStream:
        """Return the stream that tornado reads and writes."""
        assert self._stream is not None
        return self._stream

    def open_stream(self, accepted: socket.socket) -> CallerStream:
        """Make the stream of an accepted socket."""
        note_written = self._pace.note_written if self._pace is not None else None
        self._stream = CallerStream(
            accepted, self._note_read, self._release, note_written
        )
        return self._stream

    def begin_request(self) -> None:
        """Note that the next request is awaited."""
        self._position += 1
        self._has_header = False
        self._ownership.note_next(self.stream.has_unparsed_bytes)
        self._deps.note_phase(self)

    def note_header(self) -> None:
        """Note that the whole header of a request was read."""
        self._has_header = True
        self._deps.note_header(self)

    def note_answer_begun(self) -> None:
        """Note the first byte of an answer."""
        self._ownership.note_answer_begun()
        if self._pace is not None:
            self._deps.note_answered(self)

    def note_answer_ended(self) -> None:
        """Note that an answer is complete and has only to be written."""
        self._ownership.note_answer_ended()
        if self._pace is not None and self._pace.held.total:
            self._pace.held.end_request()

    def is_due(self, occasion: Occasion) -> bool:
        """Return whether an occasion would end the connection."""
        step = decide_step(self._ownership.phase, occasion, self._has_more)
        return step is not ClosingStep.KEEP

    def close_if_due(self, occasion: Occasion) -> bool:
        """Close or answer the connection if that is due; returns whether it was."""
        step = decide_step(self._ownership.phase, occasion, self._has_more)
        if step is ClosingStep.KEEP:
            return False
        self.note_close(occasion.value)
        if step is ClosingStep.REFUSE:
            self._answer_incomplete(HTTPStatus.SERVICE_UNAVAILABLE)
        elif step is ClosingStep.TIME_OUT:
            self._answer_incomplete(HTTPStatus.REQUEST_TIMEOUT)
        else:
            if occasion in STALLED_OCCASIONS:
                self.reset_on_close()
            self.stream.close()
        return True

    def reset_on_close(self) -> None:
        """Have the connection reset when it is closed.

        Its end could mark an answer as complete, and the kernel would hold what is
        unread until its caller is gone.
        """
        if not self.stream.closed():
            linger = struct.pack("ii", 1, 0)
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def note_close(self, reason: str) -> None:
        """Log that this process closes the connection, and what was read on it."""
        if self._is_close_logged:
            return
        self._is_close_logged = True
        self._deps.events.record(
            "connection.closed",
            reason=reason,
            phase=self._ownership.phase.value,
            bytes_read=self._ownership.bytes_read,
            **self._identity.describe(self._deps.clock.monotonic(), self._position),
        )

    @property
    def _has_more(self) -> bool:
        """Return whether bytes are there that may complete a request."""
        is_reading = self._ownership.phase is ConnectionPhase.READING
        is_parsing = is_reading and self.stream.is_being_parsed
        return is_parsing or self.stream.has_unread_bytes

    def _answer_incomplete(self, status: HTTPStatus) -> None:
        """Answer a request that was not received to its end, as not run, and close."""
        # An empty connection has bytes in the kernel, which are not read any more.
        self._ownership.note_bytes(0)
        self._ownership.note_answer_begun()
        self.note_answer_ended()
        try:
            written = self.stream.write(build_refusal(status))
        except StreamClosedError:
            return
        written.add_done_callback(lambda future: self.stream.close())

    def _note_read(self, size: int) -> None:
        was_empty = self._ownership.phase is ConnectionPhase.EMPTY
        self._ownership.note_bytes(size)
        if was_empty:
            self._deps.note_phase(self)
        if self._pace is not None:
            self._pace.note_read()

    def _release(self, stream: socket.socket) -> None:
        """Close the socket, later if its caller might not read its answer otherwise."""
        phase = self._ownership.phase
        is_ours = not self.stream.is_caller_gone
        if is_ours and phase is not ConnectionPhase.FLUSHING:
            self.note_close(UNEXPECTED)
        if is_ours and phase in WITH_ANSWER and self._may_lose_answer(stream):
            self._answer_unparsable(stream)
            self._ownership.note_lingering()
            self._deps.lingerer.take(stream)
        else:
            self._ownership.note_closed()
            stream.close()
        if self._pace is not None:
            self._pace.close()
        self._deps.note_closed(self)

    def _answer_unparsable(self, stream: socket.socket) -> None:
        """Answer a line or a header over its limit, which tornado does not."""
        is_unanswered = self._ownership.phase is ConnectionPhase.READING
        if is_unanswered and isinstance(self.stream.error, UnsatisfiableReadError):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if self._has_header:
                status = HTTPStatus.BAD_REQUEST
            with suppress(OSError):
                stream.send(build_refusal(status))

    def _may_lose_answer(self, stream: socket.socket) -> bool:
        """Return whether bytes of the caller are, or may soon be, unread."""
        if self.stream.writing():
            return False
        return (
            not self._ownership.is_whole
            or self.stream.has_unparsed_bytes
            or has_unread_bytes(stream)
        )


def build_refusal(status: HTTPStatus) -> bytes:
    """Return an answer to a request that is not run.

    It has no body, as it may answer a request whose method is not known yet.
    """
    lines = (
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Retry-After: {RETRY_AFTER.total_seconds():.2f}",
        "Content-Length: 0",
        "Connection: close",
        "",
        "",
    )
    return "\r\n".join(lines).encode()
