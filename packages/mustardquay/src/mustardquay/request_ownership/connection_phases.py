"""Phases of a caller's connection, from which follows who owes an answer on it.

A request belongs to its connection from the first byte that the process has read to the
last byte of the answer that it has written. Reading, handling and writing happen in
different iterations of an event loop. What asks whether a connection can be closed, or
whether a process can exit, asks this record and none of them.
"""

from enum import StrEnum

__all__ = ["ConnectionPhase", "RequestOwnership"]


class ConnectionPhase(StrEnum):
    """What a connection is doing."""

    EMPTY = "empty"
    """No byte was read that isn't answered."""
    READING = "reading"
    """A part of a request was read."""
    OWNED = "owned"
    """A whole request was read, and its answer has not begun."""
    ANSWERING = "answering"
    FLUSHING = "flushing"
    """The answer is complete, but not yet written to the socket."""
    LINGERING = "lingering"
    """The answer is written, and what the caller still sends is dropped."""
    CLOSED = "closed"


P = ConnectionPhase
UNANSWERED = (P.OWNED, P.ANSWERING, P.FLUSHING)
"""Phases in which a caller waits for an answer, or for the rest of it."""


class RequestOwnership:
    """The phase of one connection, and what was read on it.

    A note that does not apply to the phase changes nothing: a request whose caller was
    refused before it was complete may still be completed, and a connection may end at
    any time.
    """

    __slots__ = ("_bytes_read", "_is_whole", "_phase")

    def __init__(self) -> None:
        self._phase = ConnectionPhase.EMPTY
        self._bytes_read = 0
        self._is_whole = False

    @property
    def phase(self) -> ConnectionPhase:
        """Return what the connection is doing."""
        return self._phase

    @property
    def bytes_read(self) -> int:
        """Return how much was read on the connection."""
        return self._bytes_read

    @property
    def is_unanswered(self) -> bool:
        """Return whether a whole request has no complete, written answer."""
        return self._phase in UNANSWERED

    @property
    def is_whole(self) -> bool:
        """Return whether the current request was read to its end."""
        return self._is_whole

    def note_bytes(self, size: int) -> None:
        """Note bytes that were read from the socket."""
        self._bytes_read += size
        self._move(P.READING, P.EMPTY)

    def note_whole(self) -> bool:
        """Note the end of a request; returns whether it is to be handled."""
        self._is_whole = True
        return self._move(P.OWNED, P.READING)

    def note_answer_begun(self) -> None:
        """Note the first byte of an answer."""
        self._move(P.ANSWERING, P.READING, P.OWNED)

    def note_answer_ended(self) -> None:
        """Note that an answer is complete and has only to be written."""
        self._move(P.FLUSHING, P.ANSWERING)

    def note_next(self, has_bytes: bool) -> None:
        """Note that the next request is awaited, a part of which may have been read."""
        if self._move(P.READING if has_bytes else P.EMPTY, P.FLUSHING):
            self._is_whole = False

    def note_lingering(self) -> None:
        """Note that what the caller still sends is dropped."""
        self._move(P.LINGERING, P.READING, P.FLUSHING)

    def note_closed(self) -> None:
        """Note that the connection was closed, by whomever."""
        self._phase = ConnectionPhase.CLOSED

    def _move(self, to: ConnectionPhase, *sources: ConnectionPhase) -> bool:
        if self._phase not in sources:
            return False
        self._phase = to
        return True
