"""Connections to upstreams, which tell whether their peer has ended them in order."""

import socket

from tornado.iostream import IOStream

__all__ = ["UpstreamStream"]

CLOSE_WAIT = 8
"""State of a TCP connection whose peer has closed it and that wasn't reset since; see
`tcp_states.h` of Linux."""


class UpstreamStream(IOStream):
    """A connection to an upstream.

    The end of what can be read shows no orderly end by itself. An error of a connection
    is handed out once, so that a read after a reset may return an ordinary end, if a
    write or another call had the error first. The state of the connection remains.
    """

    def __init__(self, connection: socket.socket):
        super().__init__(connection)
        self._ended_in_order = False

    @property
    def ended_in_order(self) -> bool:
        """Return whether the peer has closed the connection, and all was read."""
        return self._ended_in_order

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and note how it has ended."""
        size = super().read_from_fd(buf)
        if size == 0:
            self._ended_in_order = _read_state(self.socket) == CLOSE_WAIT
        return size


def _read_state(connection: socket.socket) -> int:
    """Return the state of a connection, the first byte of `tcp_info`."""
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
