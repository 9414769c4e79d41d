"""Admins: the admin port of a process, for operators and their monitoring.

`/healthz`, `/readyz` and `/metrics` need no key. What is under `/admin` needs the
bearer key of an operator. Bodies are JSON; an error is `{"error": "…"}` whose text
names the remedy.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from mustardquay.event_records import describe_event
from mustardquay.events import EventRing, Stamp, select_events

from .amendments import AdminActions
from .changes import ChangeHandler, ChangesHandler
from .contracts import ContractHandler, ContractsHandler
from .handlers import AdminHandler, BaseHandler, FallbackHandler, hash_keys
from .metric_pages import load_exporters
from .metrics import NodeMetrics
from .releases import ReleaseHandler, ReleasesHandler
from .statuses import Probe, ProcessStatus, describe_status

__all__ = ["AdminActions", "AdminParts", "AdminServer", "make_application"]

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
class AdminParts:
    """What the admin port of one process shows and does."""

    operator_keys: Sequence[str]
    ring: EventRing
    metrics: NodeMetrics
    read_status: Callable[[], ProcessStatus]
    probe_health: Callable[[], Probe]
    """Bad only when the process should be replaced."""
    probe_readiness: Callable[[], Probe]
    """Bad while the process should get no new callers."""
    actions: AdminActions | None = None
    """None where there is nothing to edit, as on an agent."""


def make_application(parts: AdminParts) -> Application:
    """Return the tornado application of an admin port."""
    digests = hash_keys(parts.operator_keys)
    keyed = {"digests": digests}
    rules = [
        (r"/healthz", _ProbeHandler, {"probe": parts.probe_health}),
        (r"/readyz", _ProbeHandler, {"probe": parts.probe_readiness}),
        (r"/metrics", _MetricsHandler, {"metrics": parts.metrics}),
        (r"/admin/status", _StatusHandler, keyed | {"read": parts.read_status}),
        (r"/admin/events", _EventsHandler, keyed | {"ring": parts.ring}),
    ]
    if parts.actions is not None:
        options = keyed | {"actions": parts.actions}
        rules += [(path, handler, options) for path, handler in _EDITORS]
    return Application(
        rules,
        default_handler_class=FallbackHandler,
        default_handler_args={"has_editors": parts.actions is not None},
        log_function=lambda handler: None,
    )


class AdminServer:
    """Serves an admin port; `port` 0 takes any that is free."""

    def __init__(self, parts: AdminParts, address: str, port: int):
        self._parts = parts
        self._address = address
        self._port = port
        self._server: HTTPServer | None = None

    @property
    def port(self) -> int:
        """Return the port; the real one after `start`."""
        return self._port

    def start(self) -> None:
        """Begin to listen; raises `OSError` when the port is taken."""
        sockets = bind_sockets(self._port, self._address)
        self._port = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            make_application(self._parts),
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
        """Send the newest events that match every filter, oldest first."""
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
            raise self.fault(
                400, "after is no stamp; write microseconds.logical, such as 0.0."
            ) from None
