"""The ports of a gateway: for callers, for the load balancer and for metrics."""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

from tornado.http1connection import HTTP1ConnectionParameters, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.netutil import add_accept_handler, bind_sockets
from tornado.web import Application, RequestHandler

from mustardquay.routing_tables import CallerLimits

from .caller_connections import CallerConnections
from .configuration_relays import RELAY_PATH, RelayedDocument, RelayHandler
from .connection_gates import GateMonitor
from .connections import split_address
from .descriptors import AcceptingSocket
from .metric_pages import load_exporters

__all__ = ["GatewayServers", "PeeringPorts"]

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Tornado's limit of a body; the operator's limit is checked before it."""
LISTEN_BACKLOG = 512
"""Connections that wait to be accepted; callers reconnect at the same time."""
METRICS_PATH = "/metrics"

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class PeeringPorts:
    """Ports at which other gateways connect to this one; 0 for none."""

    forward: int = 0
    """For requests that they forward."""
    relay: int = 0
    """For reads of the configuration in force."""


class GatewayServers:
    """Listens on the addresses of one gateway."""

    def __init__(
        self,
        free_descriptors: Callable[[], bool] = lambda: False,
        gate_monitor: GateMonitor | None = None,
    ):
        """Take what decides on new connections.

        `free_descriptors` closes idle connections of the process; `gate_monitor` tells
        which connections of callers to take, without it all.
        """
        self._free_descriptors = free_descriptors
        self._gate_monitor = gate_monitor
        self._servers: list[HTTPServer] = []
        # Shared by all connections of callers, and read again for each request.
        self._parameters = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
        self._connections: CallerConnections | None = None
        self._listeners: list[AcceptingSocket] = []
        """Sockets on which callers connect."""
        self._stop_handlers: list[Callable[[], None]] = []

    def listen_to_callers(self, address: str, connections: CallerConnections) -> str:
        """Listen for callers; returns the address with its real port."""
        self._connections = connections
        admits = None
        if self._gate_monitor is not None:
            self._gate_monitor.start()
            admits = self._gate_monitor.admits
        self._listeners = self._bind(address, admits)
        if connections.memory is not None:
            self._bound_buffers(connections.memory.limits.kernel_buffer)
        self._stop_handlers = [
            add_accept_handler(each, self._own) for each in self._listeners
        ]
        return _describe(self._listeners[0], address)

    def listen_to_peers(self, address: str) -> int:
        """Listen for requests of other gateways; returns the port in use.

        They are not left unread: the other gateway has read them, and can't tell
        whether this one has.
        """
        listeners = self._bind(address)
        self._listeners += listeners
        self._stop_handlers += [
            add_accept_handler(each, self._own) for each in listeners
        ]
        return listeners[0].getsockname()[1]

    def serve_readiness(
        self, address: str, path: str, is_ready: Callable[[], bool]
    ) -> None:
        """Serve the load balancer's readiness checks."""
        self._serve(address, path, _ReadinessHandler, {"is_ready": is_ready})

    def serve_metrics(self, address: str, render: Callable[[], bytes]) -> None:
        """Serve the metrics for Prometheus."""
        self._serve(address, METRICS_PATH, _MetricsHandler, {"render": render})

    def serve_configuration(
        self, address: str, get_document: Callable[[], RelayedDocument | None]
    ) -> int:
        """Serve the configuration in force to other gateways; returns the port."""
        options = {"get_document": get_document}
        return self._serve(address, RELAY_PATH, RelayHandler, options)

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the operator's limits to requests received from now on."""
        self._parameters.max_header_size = limits.header_bytes

    def end_connections(self) -> None:
        """Close each new connection after its first answer."""
        self._parameters.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Accept the connections that wait to be accepted, and stop listening."""
        for stop_handler in self._stop_handlers:
            stop_handler()
        for listener in self._listeners:
            listener.admit_all()
            self._accept_waiting(listener)
            listener.close()
        self._stop_handlers.clear()
        self._listeners.clear()

    def _bound_buffers(self, size: int) -> None:
        """Bound what the kernel buffers; accepted connections inherit the sizes."""
        for each in self._listeners:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                each.setsockopt(socket.SOL_SOCKET, option, size)

    def _accept_waiting(self, listener: socket.socket) -> None:
        for _ in range(LISTEN_BACKLOG):
            try:
                self._own(*listener.accept())
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError:
                logger.exception("Connections that wait can't be accepted")
                return

    def _own(self, accepted: socket.socket, address: tuple) -> None:
        """Serve an accepted connection of a caller."""
        assert self._connections is not None
        try:
            stream = self._connections.open_stream(accepted)
            connection = HTTP1ServerConnection(stream, self._parameters, address)
            # Not by a server of tornado, which tells no delegate of closed connections.
            connection.start_serving(self._connections)
        except OSError:
            logger.exception("A connection that was accepted can't be served")
            accepted.close()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        self.stop_accepting()
        if self._gate_monitor is not None:
            self._gate_monitor.close()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def _serve(
        self, address: str, path: str, handler: type[RequestHandler], options: dict
    ) -> int:
        """Serve one path; returns the port in use."""
        rules = [(path, handler, options)]
        application = Application(rules, log_function=lambda handler: None)
        server = HTTPServer(application)
        sockets = self._bind(address)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    def _bind(
        self, address: str, admits: Callable[[], bool] | None = None
    ) -> list[AcceptingSocket]:
        host, port = split_address(address)
        return [
            AcceptingSocket(each, self._free_descriptors, admits)
            for each in bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        ]


def _describe(listener: socket.socket, address: str) -> str:
    """Return an address with the port that the system has chosen."""
    host, _ = split_address(address)
    return f"{host}:{listener.getsockname()[1]}"


class _ReadinessHandler(RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)


class _MetricsHandler(RequestHandler):
    def initialize(self, render: Callable[[], bytes]) -> None:
        self._render = render

    async def get(self) -> None:
        exporters = await load_exporters()
        self.set_header("Content-Type", exporters.CONTENT_TYPE_LATEST)
        self.write(self._render())
