"""Sockets of connections to upstreams and to the store."""

import errno
import socket

from tornado.iostream import StreamClosedError

from mustardquay.silences import ConnectResult

from .descriptors import is_exhausted

__all__ = ["classify_connect_error", "make_socket"]

KEEPALIVE_IDLE = 1
"""Seconds without data after which TCP sends the first keepalive probe."""
KEEPALIVE_INTERVAL = 1
"""Seconds between two keepalive probes."""
KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which the connection counts as lost."""
USER_TIMEOUT = 3_000
"""Milliseconds that sent bytes may stay unacknowledged. Without it, a connection to a
peer that lost power or network would hang for a quarter of an hour."""


def make_socket(buffer_size: int | None = None) -> socket.socket | None:
    """Return a socket, or None if the process has no file descriptors left.

    With a `buffer_size`, the kernel buffers that many bytes each way, else what it
    chooses by itself.
    """
    try:
        connection = socket.socket(socket.AF_INET)
    except OSError as error:
        if not is_exhausted(error):
            raise
        return None
    if buffer_size is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_size)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
    return connection


def classify_connect_error(error: OSError) -> ConnectResult:
    """Return what an error of an attempt to connect shows of the peer."""
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    is_late = isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT
    return ConnectResult.TIMED_OUT if is_late else ConnectResult.REFUSED
