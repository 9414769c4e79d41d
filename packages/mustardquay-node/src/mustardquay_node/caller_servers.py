"""The HTTP server of an entry for callers."""

import socket
import ssl
from datetime import timedelta

from tornado.netutil import bind_sockets
from tornado.web import Application

from mustardquay.clocks import Clock
from mustardquay.errors import SettingsError

from .caller_handlers import CallerDependencies, NotFoundHandler
from .entry_connections import EntryConnections, OwningServer
from .generations import ChatHandler, CompletionHandler, ModelsHandler
from .node_settings import EntrySettings
from .services import ServiceHandler

__all__ = ["CallerServer"]

SEND_BUFFER = 128 * 1024
"""`SO_SNDBUF` of a caller's connection; the kernel doubles the number."""
MAX_BODY_SIZE = 1024 * 1024 * 1024
"""Body limit for tornado; the handlers apply the lower limit of the settings."""
END_MARGIN = timedelta(milliseconds=400)
"""How long requests that arrive as the entry stops are still refused."""


class CallerServer:
    """Serves callers over HTTP, or HTTPS where a certificate is set."""

    def __init__(
        self,
        settings: EntrySettings,
        address: str,
        deps: CallerDependencies,
        clock: Clock,
    ):
        self._settings = settings
        self._address = address
        self._deps = deps
        self._clock = clock
        self._port = settings.port
        self._server: OwningServer | None = None
        self._connections = EntryConnections(
            clock, deps.events, settings.idle_timeout, settings.body_timeout
        )

    @property
    def port(self) -> int:
        """Return the port; the port actually bound after `start`."""
        return self._port

    @property
    def url(self) -> str:
        """Return the base URL."""
        scheme = "https" if self._settings.certificate else "http"
        return f"{scheme}://{self._address}:{self._port}"

    def start(self) -> None:
        """Start to listen; raises `OSError` and `SettingsError`."""
        tls = self._make_ssl_context()
        sockets = bind_sockets(self._port, self._address)
        for listener in sockets:
            # Connections inherit the size. The kernel would otherwise buffer some
            # megabytes for each caller that doesn't read, which the flow control
            # of the stream would count as taken.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self._port = sockets[0].getsockname()[1]
        self._server = OwningServer(
            self._connections,
            self._make_application(),
            ssl_options=tls,
            max_body_size=MAX_BODY_SIZE,
            max_buffer_size=MAX_BODY_SIZE,
        )
        self._server.add_sockets(sockets)
        self._connections.start()

    async def close(self) -> None:
        """Stop listening and close the connections.

        Requests that arrive meanwhile are refused. Those that still run, as they have
        outlasted the drain, are lost.
        """
        if self._server is None:
            return
        server, self._server = self._server, None
        server.end_keep_alive()
        server.accept_waiting()
        server.stop()
        margin = timedelta() if self._deps.in_flight.count else END_MARGIN
        await self._connections.end(self._clock.monotonic() + margin)
        await server.close_all_connections()

    def drop_slow_callers(self) -> None:
        """Close the connections of callers that have stopped reading their stream.

        A caller that hangs, or whose connection is half open, would otherwise occupy
        memory here and a slot of the engine for as long as TCP keeps the connection.
        """
        limit: timedelta = self._settings.progress_timeout
        oldest = self._clock.monotonic() - limit
        for handler, sink in list(self._deps.streams):
            if sink.blocked_since is not None and sink.blocked_since < oldest:
                handler.drop()

    def _make_ssl_context(self) -> ssl.SSLContext | None:
        if not self._settings.certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(
                self._settings.certificate, self._settings.private_key
            )
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f"[entry] certificate: can't be used with private_key ({error}); "
                "give PEM files that belong together."
            ) from None
        return context

    def _make_application(self) -> Application:
        options = {"deps": self._deps}
        return Application(
            [
                (r"/v1/chat/completions", ChatHandler, options),
                (r"/v1/completions", CompletionHandler, options),
                (r"/v1/models", ModelsHandler, options),
                (r"/services/([A-Za-z0-9._-]+)(/.*)?", ServiceHandler, options),
            ],
            default_handler_class=NotFoundHandler,
            default_handler_args=options,
            log_function=lambda handler: None,
        )
