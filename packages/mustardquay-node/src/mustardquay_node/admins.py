"""Admins: the admin port of a process, for operators and their monitoring.

`/healthz`, `/readyz` and `/metrics` need no authentication. All paths under `/admin`
need an operator's bearer key. Bodies are JSON. Errors have the form
`{"error": "…"}`, and the text says how to correct the request.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from mustardquay.event_records import describe_event
from mustardquay.events import EventRing, Stamp, select_events

from .admin_handlers import AdminHandler, BaseHandler, FallbackHandler, hash_keys
from .amendments import AdminActions
from .changes import ChangeHandler, ChangesHandler
from .contracts import ContractHandler, ContractsHandler
from .metric_pages import load_exporters
from .metrics import NodeMetrics
from .releases import ReleaseHandler, ReleasesHandler
from .statuses import Probe, ProcessStatus, describe_status

__all__ = ["AdminActions", "AdminDependencies", "AdminServer", "make_application"]

BODY_LIMIT = 1 << 20
IDLE_TIMEOUT = timedelta(seconds=60)
BODY_TIMEOUT = timedelta(seconds=10)
EVENT_LIMIT = 10_000


_EDITORS = (
    (r"/admin/contracts", ContractsHandler),
    (r"/admin/contracts/([^/]+)", ContractHandler),
    (r"/admin/changes", ChangesHandler),
    (r"/admin/changes/([^/]+)", ChangeHandler),
    (r"/admin/releases", ReleasesHandler),
    (r"/admin/releases/([^/]+)", ReleaseHandler),
)


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """The data sources and actions of one process's admin port."""

    operator_keys: Sequence[str]
    ring: EventRing
    metrics: NodeMetrics
    read_status: Callable[[], ProcessStatus]
    probe_health: Callable[[], Probe]
    """Fails only when the process should be replaced."""
    probe_readiness: Callable[[], Probe]
    """Fails while the process should get no new callers."""
    actions: AdminActions | None = None
    """None where the configuration can't be edited, as on an agent."""


def make_application(deps: AdminDependencies) -> Application:
    """Return the Tornado application of an admin port."""
    digests = hash_keys(deps.operator_keys)
    keyed = {"digests": digests}
    rules = [
        (r"/healthz", _ProbeHandler, {"probe": deps.probe_health}),
        (r"/readyz", _ProbeHandler, {"probe": deps.probe_readiness}),
        (r"/metrics", _MetricsHandler, {"metrics": deps.metrics}),
        (r"/admin/status", _StatusHandler, keyed | {"read": deps.read_status}),
        (r"/admin/events", _EventsHandler, keyed | {"ring": deps.ring}),
    ]
    if deps.actions is not None:
        options = keyed | {"actions": deps.actions}
        rules += [(path, handler, options) for path, handler in _EDITORS]
    return Application(
        rules,
        default_handler_class=FallbackHandler,
        default_handler_args={"has_editors": deps.actions is not None},
        log_function=lambda handler: None,
    )


class AdminServer:
    """Serves an admin port; with `port` 0, any free port."""

    def __init__(self, deps: AdminDependencies, address: str, port: int):
        self._deps = deps
        self._address = address
        self._port = port
        self._server: HTTPServer | None = None

    @property
    def port(self) -> int:
        """Return the port; after `start`, the one that was bound."""
        return self._port

    def start(self) -> None:
        """Start listening; raises `OSError` if the port is in use."""
        sockets = bind_sockets(self._port, self._address)
        self._port = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            make_application(self._deps),
            max_body_size=BODY_LIMIT,
            idle_connection_timeout=IDLE_TIMEOUT.total_seconds(),
            body_timeout=BODY_TIMEOUT.total_seconds(),
        )
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        if self._server is None:
            return
        self._server.stop()
        await self._server.close_all_connections()
        self._server = None


class _ProbeHandler(BaseHandler):
    def initialize(self, probe: Callable[[], Probe]) -> None:
        self._probe = probe

    def get(self) -> None:
        probe = self._probe()
        self.set_status(200 if probe.good else 503)
        self.send({"good": probe.good, "faults": list(probe.faults)})


class _MetricsHandler(BaseHandler):
    def initialize(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics

    async def get(self) -> None:
        exporters = await load_exporters()
        self.set_header("Content-Type", exporters.CONTENT_TYPE_LATEST)
        self.finish(self._metrics.render())


class _StatusHandler(AdminHandler):
    def initialize(self, read: Callable[[], ProcessStatus], **keyed: object) -> None:
        super().initialize(**keyed)
        self._read = read

    def get(self) -> None:
        self.send(describe_status(self._read()))


class _EventsHandler(AdminHandler):
    def initialize(self, ring: EventRing, **keyed: object) -> None:
        super().initialize(**keyed)
        self._ring = ring

    def get(self) -> None:
        """Send the newest events that match all filters, oldest first."""
        after = self._read_stamp()
        limit = self.read_number("limit", EVENT_LIMIT, 1, EVENT_LIMIT)
        names = ("request", "customer", "upstream", "kind")
        filters = {name: self.get_query_argument(name, "") for name in names}
        events = select_events(self._ring.list_events(), **filters)
        newer = [event for event in events if event.stamp > after]
        self.send({"events": [describe_event(event) for event in newer[-limit:]]})

    def _read_stamp(self) -> Stamp:
        """Return the stamp of `?after=PHYSICAL.LOGICAL`."""
        text = self.get_query_argument("after", "0.0")
        physical, _, logical = text.partition(".")
        try:
            return Stamp(int(physical), int(logical or 0))
        except ValueError:
            raise self.make_error(
                400, "after is no stamp; write microseconds.logical, such as 0.0."
            ) from None
