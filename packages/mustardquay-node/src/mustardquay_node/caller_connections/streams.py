"""Streams of callers: tornado's, which tell what was read and hand the socket back."""

import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from ..unread_bytes import has_unread_bytes

__all__ = ["CallerStream"]


class CallerStream(IOStream):
    """A caller's socket, which notes each read before anything is parsed."""

    def __init__(
        self,
        accepted: socket.socket,
        note_read: Callable[[int], None],
        release: Callable[[socket.socket], None],
        note_written: Callable[[int, int], None] | None = None,
    ):
        """Take callbacks for the size of each read and for the socket at the close.

        `note_written` gets what is still unsent after each write, and what was written.
        """
        super().__init__(accepted)
        self._note_read = note_read
        self._release = release
        self._note_written = note_written
        self._has_unsent = False
        self._has_ended = False

    @property
    def is_caller_gone(self) -> bool:
        """Return whether the caller has closed or reset the connection."""
        return self._has_ended or isinstance(self.error, ConnectionError)

    @property
    def has_unparsed_bytes(self) -> bool:
        """Return whether bytes were read that tornado has not parsed yet."""
        return self._read_buffer_size > 0

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the caller wait in the kernel."""
        return not self.closed() and has_unread_bytes(self.socket)

    @property
    def is_being_parsed(self) -> bool:
        """Return whether tornado has what it waited for and goes on in a later turn."""
        return not (self.closed() or self.reading())

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and note it."""
        size = super().read_from_fd(buf)
        if size:
            self._note_read(size)
        elif size == 0:
            self._has_ended = True
        return size

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket, and note what is left."""
        if self._note_written is None:
            return super().write_to_fd(data)
        written = 0
        try:
            written = super().write_to_fd(data)
            return written
        finally:
            left = len(self._write_buffer) - written
            if left or self._has_unsent:
                self._has_unsent = left > 0
                self._note_written(left, written)

    def close_fd(self) -> None:
        """Hand the socket back."""
        released, self.socket = self.socket, None
        self._release(released)
