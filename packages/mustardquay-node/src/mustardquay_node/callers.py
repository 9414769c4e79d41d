"""Callers: the HTTP handlers that callers meet, whatever they call."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import sha256
from typing import Any, Protocol
from uuid import uuid4

from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from mustardquay.actions import Finish
from mustardquay.clocks import Clock
from mustardquay.contracts import Contract
from mustardquay.errors import Reason
from mustardquay.events import EventRing
from mustardquay.messages import Header
from mustardquay.outcomes import Outcome
from mustardquay.predictions import OutputLengths
from mustardquay.revisions import Configuration

from .answers import (
    BufferedSink,
    choose_status,
    count_retry_seconds,
    encode_error,
)
from .dispatchers import Dispatcher
from .metrics import NodeMetrics
from .node_settings import EntrySettings, ServiceSettings
from .recorders import Recorder
from .turns import TurnQueue

__all__ = ["CallerHandler", "CallerParts", "ConfigurationSource", "NotFoundHandler"]

OUTCOME_HEADER = "Mustardquay-Outcome"
REQUEST_HEADER = "Mustardquay-Request"
SWALLOW_LIMIT = 16 * 1024 * 1024
"""Bytes over the limit of a body that are read, so that the caller sees the 413;
a connection closed on unread bytes would lose it."""
SKIPPED_HEADERS = frozenset(
    {"authorization", "connection", "content-length", "host", "transfer-encoding"}
)


class ConfigurationSource(Protocol):
    """Where the configuration in force is to be had."""

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""

    @property
    def current(self) -> bool:
        """Return whether this process may take work under it."""


class InFlight:
    """Counts the requests that handlers are at work on."""

    def __init__(self) -> None:
        self._count = 0
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """Return how many requests there are."""
        return self._count

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Count one request while the block runs."""
        self._count += 1
        self._empty.clear()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._empty.set()

    async def wait_until_empty(self) -> None:
        """Wait until there is none."""
        await self._empty.wait()


@dataclass(slots=True)
class CallerParts:
    """What the handlers of one entry share."""

    settings: EntrySettings
    services: dict[str, ServiceSettings]
    configurations: ConfigurationSource
    dispatcher: Dispatcher
    recorder: Recorder
    clock: Clock
    events: EventRing
    metrics: NodeMetrics
    lengths: OutputLengths
    in_flight: "InFlight"
    draining: Callable[[], bool]
    streams: set[Any]
    """Streams that are being written, watched for callers that take nothing."""
    turns: TurnQueue = field(default_factory=TurnQueue)
    """Where streams are written at the end of a turn of the loop."""


@dataclass(frozen=True, slots=True)
class _Fault:
    """Why a request is refused before it is tried."""

    status: int
    message: str
    code: str
    field: str | None = None
    retry_after: timedelta | None = None


@stream_request_body
class CallerHandler(RequestHandler):
    """Authenticates, takes the body in and answers; each kind of call extends it.

    The answer waits for the whole body, so that a caller which is still sending
    does not lose it. Errors have the shape of the OpenAI API.
    """

    operation = ""
    """Name of the operation in metrics."""

    def initialize(self, parts: CallerParts) -> None:
        """Take what the handlers of an entry share."""
        self.parts = parts
        self.model = ""
        self.customer: Contract | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._fault: _Fault | None = None
        self._left: Callable[[], None] = lambda: None
        self.arrived = parts.clock.monotonic()

    @property
    def request_id(self) -> str:
        """Return the id of this request."""
        return self.request.request_id

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._body)

    def set_default_headers(self) -> None:
        """Name the request and its outcome in every response."""
        name_request(self.request)
        self.set_header("Server", "mustardquay")
        self.set_header(REQUEST_HEADER, self.request.request_id)
        self.set_header(OUTCOME_HEADER, Outcome.NOT_RUN.value)

    def prepare(self) -> None:
        """Check the caller and the announced size, before the body is read."""
        self._fault = self._check_state() or self._check_key() or self._check_length()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body in, up to the limit."""
        self._body_size += len(chunk)
        limit = self.parts.settings.body_limit
        if self._body_size <= limit:
            self._body.append(chunk)
            return
        self._body.clear()
        if self._fault is None:
            self._fault = self._make_length_fault()
        if self._body_size > limit + SWALLOW_LIMIT:
            self.request.connection.close()

    def compute_etag(self) -> None:
        """Leave answers without a tag of ours; they are the upstream's."""
        return None

    def on_connection_close(self) -> None:
        """Tell the exchange that its caller is gone."""
        super().on_connection_close()
        self._left()

    def on_caller_left(self, callback: Callable[[], None]) -> None:
        """Call back when the caller goes before its answer."""
        self._left = callback

    async def serve(self, run: Callable[[], Awaitable[None]]) -> None:
        """Refuse what is at fault, or run it; a drain waits for what runs."""
        # Asked again, as the body may have taken until after the entry began to stop:
        # the call would be run, and be cut off at the end of the time to drain.
        fault = self._fault or self._check_state()
        if fault is not None:
            self._refuse_fault(fault)
            return
        with self.parts.in_flight.hold():
            await self._run(run)

    async def _run(self, run: Callable[[], Awaitable[None]]) -> None:
        assert self.customer is not None
        self.parts.events.record(
            "request.arrived",
            request=self.request_id,
            customer=self.customer.customer,
            operation=self.operation,
        )
        await run()

    def refuse(
        self,
        status: int,
        message: str,
        code: str,
        field: str | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        """Answer that the request was not run, and what mends it."""
        self._refuse_fault(_Fault(status, message, code, field, retry_after))

    def send_end(self, end: Finish, sink: BufferedSink) -> None:
        """Answer with a whole answer, or with the outcome of none."""
        if end.outcome is Outcome.ANSWERED:
            self.send_answer(sink.status, sink.headers, sink.body)
        else:
            self.send_outcome(end)

    def send_answer(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        """Pass a whole answer on."""
        self.set_status(status)
        self.clear_header("Content-Type")
        for name, value in headers:
            if name.lower() not in ("server", "date"):
                self.add_header(name, value)
        self.set_header(OUTCOME_HEADER, Outcome.ANSWERED.value)
        self._end(Outcome.ANSWERED, body)

    def send_outcome(self, end: Finish) -> None:
        """Tell the outcome of a request without an answer."""
        assert end.refusal is not None
        status = choose_status(end)
        self.parts.metrics.count_refusal(end.refusal.reason)
        self._set_retry_after(end.refusal.retry_after)
        self._send_error(
            status, end.refusal.message, end.refusal.reason.value, None, end.outcome
        )

    def write_error(self, status_code: int, **options: Any) -> None:
        """Answer for an exception in a handler, without its text."""
        # What was sent by then is not known here, so neither is the outcome.
        outcome = Outcome.UNKNOWN if status_code >= 500 else Outcome.NOT_RUN
        message = "The entry failed; look up this request's id in its log."
        if status_code < 500:
            message = f"{self._reason}; see the callers' page."
        self._send_error(status_code, message, "error", None, outcome)

    def _check_state(self) -> _Fault | None:
        if self.parts.draining():
            message = "This entry is stopping; send the request to another."
            return _Fault(503, message, Reason.DRAINING, None, timedelta(seconds=1))
        if not self.parts.configurations.current:
            message = "This entry has no current configuration; ask again."
            return _Fault(503, message, Reason.NOT_CURRENT, None, timedelta(seconds=1))
        return None

    def _check_key(self) -> _Fault | None:
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() == "bearer" and key:
            digest = sha256(key.strip().encode()).hexdigest()
            configuration = self.parts.configurations.configuration
            self.customer = configuration.find_contract(digest)
        if self.customer is not None:
            return None
        self.set_header("WWW-Authenticate", "Bearer")
        message = "The key is unknown; send Authorization: Bearer with your own."
        return _Fault(401, message, "invalid_api_key")

    def _check_length(self) -> _Fault | None:
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.parts.settings.body_limit:
            return self._make_length_fault()
        return None

    def _make_length_fault(self) -> _Fault:
        limit = self.parts.settings.body_limit
        message = f"The body is over {limit} bytes; send a shorter one."
        return _Fault(413, message, "body_too_large")

    def _refuse_fault(self, fault: _Fault) -> None:
        self._set_retry_after(fault.retry_after)
        self._send_error(
            fault.status, fault.message, fault.code, fault.field, Outcome.NOT_RUN
        )

    def _set_retry_after(self, wait: timedelta | None) -> None:
        if wait is not None:
            self.set_header("Retry-After", str(count_retry_seconds(wait)))

    def _send_error(
        self,
        status: int,
        message: str,
        code: str,
        field: str | None,
        outcome: Outcome,
    ) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(OUTCOME_HEADER, outcome.value)
        self._end(outcome, encode_error(status, message, code, field, outcome.value))

    def _end(self, outcome: Outcome, body: bytes) -> None:
        self.record_end(outcome)
        try:
            self.finish(body)
        except StreamClosedError:
            return

    def record_end(self, outcome: Outcome) -> None:
        """Count the request with its outcome."""
        duration = self.parts.clock.monotonic() - self.arrived
        self.parts.metrics.record_request(self.operation, self.model, outcome, duration)
        self.parts.events.record(
            "request.answered",
            request=self.request_id,
            customer=self.customer.customer if self.customer else "",
            outcome=outcome.value,
            status=self.get_status(),
        )


class NotFoundHandler(CallerHandler):
    """Answers for paths that are not served."""

    async def prepare(self) -> None:
        """Refuse at once; there is nothing to read."""
        path = self.request.path
        self.refuse(404, f"{path} is not served; see the callers' page.", "not_found")


def name_request(request: HTTPServerRequest) -> None:
    """Give the request its id, once."""
    if not hasattr(request, "request_id"):
        request.request_id = uuid4().hex
