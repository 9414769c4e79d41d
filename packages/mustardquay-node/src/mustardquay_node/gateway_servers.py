"""The ports of a gateway: for callers, for the load balancer and for metrics."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from mustardquay.routing_tables import CallerLimits

from .connection_gates import GateMonitor
from .connections import split_address
from .descriptors import AcceptingSocket
from .metric_pages import load_exporters

__all__ = ["GatewayServers"]

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Tornado's limit of a body; the operator's limit is checked before it."""
LISTEN_BACKLOG = 512
"""Connections that wait to be accepted; callers reconnect at the same time."""
METRICS_PATH = "/metrics"


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
        self._callers: HTTPServer | None = None

    def listen_to_callers(
        self, address: str, delegate: HTTPServerConnectionDelegate
    ) -> str:
        """Listen for callers; returns the address with its real port."""
        self._callers = HTTPServer(delegate, max_body_size=MAX_BODY_BYTES)
        monitor = self._gate_monitor
        if monitor is None:
            return self._listen(self._callers, address)
        monitor.start()
        return self._listen(self._callers, address, monitor.admits)

    def serve_readiness(
        self, address: str, path: str, is_ready: Callable[[], bool]
    ) -> None:
        """Serve the load balancer's readiness checks."""
        self._serve(address, path, _ReadinessHandler, {"is_ready": is_ready})

    def serve_metrics(self, address: str, render: Callable[[], bytes]) -> None:
        """Serve the metrics for Prometheus."""
        self._serve(address, METRICS_PATH, _MetricsHandler, {"render": render})

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the operator's limits to requests received from now on."""
        if self._callers is None:
            return
        # Shared by all connections, and read again for each request.
        parameters = self._callers.conn_params
        idle = limits.idle_timeout + limits.header_timeout
        parameters.header_timeout = idle.total_seconds()
        parameters.max_header_size = limits.header_bytes

    def end_connections(self) -> None:
        """Close each new connection after its first answer."""
        if self._callers is not None:
            self._callers.conn_params.no_keep_alive = True

    def stop_accepting(self) -> None:
        """Stop accepting connections of callers."""
        if self._callers is not None:
            self._callers.stop()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        if self._gate_monitor is not None:
            self._gate_monitor.close()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def _serve(
        self, address: str, path: str, handler: type[RequestHandler], options: dict
    ) -> None:
        rules = [(path, handler, options)]
        application = Application(rules, log_function=lambda handler: None)
        self._listen(HTTPServer(application), address)

    def _listen(
        self,
        server: HTTPServer,
        address: str,
        admits: Callable[[], bool] = lambda: True,
    ) -> str:
        host, port = split_address(address)
        sockets = [
            AcceptingSocket(each, self._free_descriptors, admits)
            for each in bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        ]
        server.add_sockets(sockets)
        self._servers.append(server)
        return f"{host}:{sockets[0].getsockname()[1]}"


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
