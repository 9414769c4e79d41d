"""Tornado's server, which tells the owner of its connections what it reads."""

from collections.abc import Awaitable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from .connections import EntryConnection, EntryConnections

__all__ = ["OwningServer"]

MAX_ACCEPTED = 512
"""Connections that are accepted at most as the server stops to listen."""


class OwningServer(HTTPServer):
    """A server without limits of its own for the time of heads and bodies."""

    def initialize(
        self, connections: EntryConnections, *args: Any, **options: Any
    ) -> None:
        """Take the owner of the connections before the arguments of the base."""
        super().initialize(*args, **options)
        self._owner = connections
        self.conn_params.header_timeout = None
        self.conn_params.body_timeout = None

    def end_keep_alive(self) -> None:
        """Close each connection after its next answer."""
        self.conn_params.no_keep_alive = True

    def accept_waiting(self) -> None:
        """Accept the connections that wait to be accepted."""
        for listener in list(self._sockets.values()):
            for _ in range(MAX_ACCEPTED):
                try:
                    accepted, address = listener.accept()
                except ConnectionAbortedError:
                    continue
                except OSError:
                    # None is left, or no descriptor.
                    break
                self._handle_connection(accepted, address)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a connection."""
        self._owner.open(stream)
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the delegate for the next request of a connection."""
        connection = self._owner.begin_request(server_conn.stream, request_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _OwnedRequest(delegate, connection, self._owner)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Note that a connection is closed."""
        self._owner.forget(server_conn.stream)
        super().on_close(server_conn)


class _OwnedRequest(HTTPMessageDelegate):
    """Notes what is read of a request, and passes it on."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        connection: EntryConnection,
        owner: EntryConnections,
    ):
        self._delegate = delegate
        self._connection = connection
        self._owner = owner

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._owner.await_body(self._connection)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._connection.note_body(len(chunk))
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._owner.end_request(self._connection)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()
