"""Bytes that a peer has sent and that were not read yet."""

import fcntl
import socket
import termios

__all__ = ["has_unread_bytes"]

COUNT_SIZE = 4
"""Bytes of a C int."""


def has_unread_bytes(stream: socket.socket) -> bool:
    """Return whether bytes wait in the kernel for an open socket.

    It only counts them: a socket hands out its error once, to the first call that asks,
    and a look that took the error of a reset would leave an ordinary end to the read.
    """
    count = fcntl.ioctl(stream, termios.FIONREAD, bytes(COUNT_SIZE))
    return any(count)
