"""The base class of the HTTP handlers that serve callers."""

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
from .callback_batches import CallbackBatcher
from .dispatchers import Dispatcher
from .metrics import NodeMetrics
from .node_settings import EntrySettings, ServiceSettings
from .recorders import Recorder

__all__ = [
    "CallerHandler",
    "CallerDependencies",
    "ConfigurationSource",
    "NotFoundHandler",
]

OUTCOME_HEADER = "Mustardquay-Outcome"
REQUEST_HEADER = "Mustardquay-Request"
DISCARD_LIMIT = 16 * 1024 * 1024
"""Bytes beyond the body limit that are read and discarded, so that the caller gets
the 413. Closing the connection with unread bytes would lose that response."""
SKIPPED_HEADERS = frozenset(
    {"authorization", "connection", "content-length", "host", "transfer-encoding"}
)


class ConfigurationSource(Protocol):
    """Gives access to the configuration in force."""

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""

    @property
    def current(self) -> bool:
        """Return whether it is recent enough for this process to take work."""


class InFlight:
    """Counts the requests that are being handled."""

    def __init__(self) -> None:
        self._count = 0
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
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
        """Wait until no request is in flight."""
        await self._empty.wait()


@dataclass(slots=True)
class CallerDependencies:
    """The objects that all handlers of an entry share."""

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
    """Handler and sink of each open stream, checked for callers that don't read."""
    callbacks: CallbackBatcher = field(default_factory=CallbackBatcher)
    """Batches the writes of all streams in one iteration of the event loop."""


@dataclass(frozen=True, slots=True)
class _RequestError:
    """The error response for a request that is refused before any attempt."""

    status: int
    message: str
    code: str
    field: str | None = None
    retry_after: timedelta | None = None


@stream_request_body
class CallerHandler(RequestHandler):
    """Authenticates the caller, reads the body and responds; base of all handlers.

    The response waits for the whole body, because a caller that is still sending
    could lose it. Errors have the format of the OpenAI API.
    """

    operation = ""
    """Name of the operation in metrics."""

    def initialize(self, deps: CallerDependencies) -> None:
        """Set up the handler of one request."""
        self.deps = deps
        self.model = ""
        self.customer: Contract | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._request_error: _RequestError | None = None
        self._on_left: Callable[[], None] = lambda: None
        self.arrived = deps.clock.monotonic()

    @property
    def request_id(self) -> str:
        """Return the id of this request."""
        return self.request.request_id

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._body)

    def set_default_headers(self) -> None:
        """Add the request id and the outcome to every response."""
        name_request(self.request)
        self.set_header("Server", "mustardquay")
        self.set_header(REQUEST_HEADER, self.request.request_id)
        self.set_header(OUTCOME_HEADER, Outcome.NOT_RUN.value)

    def prepare(self) -> None:
        """Check the API key and `Content-Length` before the body is read."""
        self._request_error = (
            self._check_state() or self._check_key() or self._check_length()
        )

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body, up to the limit."""
        self._body_size += len(chunk)
        limit = self.deps.settings.body_limit
        if self._body_size <= limit:
            self._body.append(chunk)
            return
        self._body.clear()
        if self._request_error is None:
            self._request_error = self._make_length_error()
        if self._body_size > limit + DISCARD_LIMIT:
            self.request.connection.close()

    def compute_etag(self) -> None:
        """Add no ETag of the entry to answers of an upstream."""
        return None

    def on_connection_close(self) -> None:
        """Run the callback that was set for a caller that disconnects."""
        super().on_connection_close()
        self._on_left()

    def set_left_callback(self, callback: Callable[[], None]) -> None:
        """Set the callback for a caller that disconnects before its answer."""
        self._on_left = callback

    async def serve(self, run: Callable[[], Awaitable[None]]) -> None:
        """Refuse an invalid request or run it; a drain waits for its end."""
        # Checked again because the drain may have begun while the body was read. The
        # request would otherwise be run and cut off at the drain timeout.
        request_error = self._request_error or self._check_state()
        if request_error is not None:
            self._send_request_error(request_error)
            return
        with self.deps.in_flight.hold():
            await self._run(run)

    async def _run(self, run: Callable[[], Awaitable[None]]) -> None:
        assert self.customer is not None
        self.deps.events.record(
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
        """Respond that the request was not run, and how to correct it."""
        self._send_request_error(
            _RequestError(status, message, code, field, retry_after)
        )

    def send_end(self, end: Finish, sink: BufferedSink) -> None:
        """Respond with the buffered answer, or with the outcome if there is none."""
        if end.outcome is Outcome.ANSWERED:
            self.send_answer(sink.status, sink.headers, sink.body)
        else:
            self.send_outcome(end)

    def send_answer(
        self, status: int, headers: tuple[Header, ...], body: bytes
    ) -> None:
        """Respond with a complete answer."""
        self.set_status(status)
        self.clear_header("Content-Type")
        for name, value in headers:
            if name.lower() not in ("server", "date"):
                self.add_header(name, value)
        self.set_header(OUTCOME_HEADER, Outcome.ANSWERED.value)
        self._end(Outcome.ANSWERED, body)

    def send_outcome(self, end: Finish) -> None:
        """Respond with the outcome of a request that has no answer."""
        assert end.refusal is not None
        status = choose_status(end)
        self.deps.metrics.count_refusal(end.refusal.reason)
        self._set_retry_after(end.refusal.retry_after)
        self._send_error(
            status, end.refusal.message, end.refusal.reason.value, None, end.outcome
        )

    def write_error(self, status_code: int, **options: Any) -> None:
        """Respond to an exception in a handler, without its message."""
        # Attempts may have been sent before the exception, so the outcome of a
        # server error is unknown.
        outcome = Outcome.UNKNOWN if status_code >= 500 else Outcome.NOT_RUN
        message = "The entry failed; look up this request's id in its log."
        if status_code < 500:
            message = f"{self._reason}; see the callers' page."
        self._send_error(status_code, message, "error", None, outcome)

    def _check_state(self) -> _RequestError | None:
        if self.deps.draining():
            message = "This entry is stopping; send the request to another."
            return _RequestError(
                503, message, Reason.DRAINING, None, timedelta(seconds=1)
            )
        if not self.deps.configurations.current:
            message = "This entry has no current configuration; ask again."
            return _RequestError(
                503, message, Reason.NOT_CURRENT, None, timedelta(seconds=1)
            )
        return None

    def _check_key(self) -> _RequestError | None:
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() == "bearer" and key:
            digest = sha256(key.strip().encode()).hexdigest()
            configuration = self.deps.configurations.configuration
            self.customer = configuration.find_contract(digest)
        if self.customer is not None:
            return None
        self.set_header("WWW-Authenticate", "Bearer")
        message = "The key is unknown; send Authorization: Bearer with your own."
        return _RequestError(401, message, "invalid_api_key")

    def _check_length(self) -> _RequestError | None:
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.deps.settings.body_limit:
            return self._make_length_error()
        return None

    def _make_length_error(self) -> _RequestError:
        limit = self.deps.settings.body_limit
        message = f"The body is over {limit} bytes; send a shorter one."
        return _RequestError(413, message, "body_too_large")

    def _send_request_error(self, request_error: _RequestError) -> None:
        self._set_retry_after(request_error.retry_after)
        self._send_error(
            request_error.status,
            request_error.message,
            request_error.code,
            request_error.field,
            Outcome.NOT_RUN,
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
        duration = self.deps.clock.monotonic() - self.arrived
        self.deps.metrics.record_request(self.operation, self.model, outcome, duration)
        self.deps.events.record(
            "request.answered",
            request=self.request_id,
            customer=self.customer.customer if self.customer else "",
            outcome=outcome.value,
            status=self.get_status(),
        )


class NotFoundHandler(CallerHandler):
    """Responds with 404 to paths that are not served."""

    async def prepare(self) -> None:
        """Refuse at once, without reading a body."""
        path = self.request.path
        self.refuse(404, f"{path} is not served; see the callers' page.", "not_found")


def name_request(request: HTTPServerRequest) -> None:
    """Assign an id to the request, unless it has one."""
    if not hasattr(request, "request_id"):
        request.request_id = uuid4().hex
