"""Bytes that a peer has sent and that were not read yet."""

import socket

__all__ = ["has_unread_bytes"]


def has_unread_bytes(stream: socket.socket) -> bool:
    """Return whether bytes wait in the kernel for a socket that doesn't block."""
    try:
        return bool(stream.recv(1, socket.MSG_PEEK))
    except OSError:
        # Nothing to read, or the peer is gone.
        return False
