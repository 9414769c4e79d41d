"""Replies: the answer to one caller, with its log line and metrics."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from mustardquay.run_evidence import REFUSAL_STATUSES, RunLedger

from .caller_connections import CallerAnswer, CallerRequest
from .connections import AnswerHead
from .forwarder_dependencies import ForwarderDependencies
from .hop_headers import strip_hop_headers

__all__ = ["OUTCOME_UNKNOWN", "Failure", "Reply"]

MIN_RETRY_AFTER = timedelta(milliseconds=50)
NO_HEADERS: Mapping[str, str] = {}
REFUSED_STATUS = 503
"""The status that guarantees to callers that the request has not run and won't."""


@dataclass(frozen=True, slots=True)
class Failure:
    """How a request ends that can't be refused, as it may have run."""

    status: int
    message: str


OUTCOME_UNKNOWN = Failure(502, "It is not known whether this was run.")


class Reply:
    """The answer to one request, sent at once or as a stream."""

    def __init__(
        self, deps: ForwarderDependencies, incoming: CallerRequest, answer: CallerAnswer
    ):
        self._deps = deps
        self._incoming = incoming
        self._answer = answer
        self.pace = answer.pace
        """What is held for the caller; None without a limit of memory."""
        self.request = deps.adapter.read_request_id(incoming.headers)
        """The request's id; empty if its headers have none."""
        self.ledger = RunLedger()
        """What the sends of the request leave open."""
        self.route = ""
        self.version = 0
        """Version of the configuration that applies to the request."""
        self.organisation = ""
        """Name of the caller's organisation, if it has one."""
        self.key_fingerprint = ""
        """Fingerprint of a key that was rejected."""
        self.on_begin: list[Callable[[], None]] = []
        """Callbacks for the first part of a stream, called in this order."""
        self.on_progress: Callable[[], None] = lambda: None
        """Called when the caller has read of a large answer that waits for it."""
        self._first_byte_at: timedelta | None = None
        self.events = 0
        """Events of a stream that were sent to the caller."""
        self._passed = 0
        self._passed_at: timedelta | None = None
        self._longest_pause = timedelta()
        self._is_large = False
        self._status = 0

    @property
    def is_caller_gone(self) -> bool:
        """Return whether the caller has closed its connection."""
        return self._answer.is_caller_gone

    @property
    def is_large(self) -> bool:
        """Return whether a plain answer is passed on as it comes."""
        return self._is_large

    @property
    def has_begun(self) -> bool:
        """Return whether a part of an answer was sent."""
        return self._answer.has_begun

    @property
    def has_ended(self) -> bool:
        """Return whether the answer was sent to its end."""
        return self._answer.has_ended

    @property
    def passed(self) -> int:
        """Return the bytes of a stream that were sent to the caller."""
        return self._passed

    @property
    def age_ms(self) -> float:
        """Return the milliseconds since the request was received."""
        return self._to_age(self._deps.clock.monotonic())

    @property
    def time_to_first_part(self) -> timedelta:
        """Return the time to the first part of the answer, or up to now without one."""
        first = self._first_byte_at or self._deps.clock.monotonic()
        return first - self._incoming.received_at

    @property
    def stream_duration(self) -> timedelta:
        """Return the time since the first part of the answer."""
        now = self._deps.clock.monotonic()
        return now - self._incoming.received_at - self.time_to_first_part

    @property
    def first_ms(self) -> float:
        """Return the milliseconds to the first byte of a stream, 0 without one."""
        return 0.0 if self._first_byte_at is None else self._to_age(self._first_byte_at)

    @property
    def pause_ms(self) -> float:
        """Return the longest time between two parts of a stream, in milliseconds."""
        return round(self._longest_pause.total_seconds() * 1000)

    def refuse(
        self,
        reason: str,
        retry_after: timedelta,
        failure: Failure = OUTCOME_UNKNOWN,
        **inputs: float | str,
    ) -> None:
        """Answer that the request has not run, and when to retry.

        One that may have run is failed, and an answer that has begun is broken off.
        """
        if self.has_begun:
            self.break_off()
            return
        if not self.ledger.is_surely_not_run:
            self.fail(failure.status, reason, failure.message, **inputs)
            return
        self.ledger.close()
        seconds = max(retry_after, MIN_RETRY_AFTER).total_seconds()
        headers = self._make_headers({"Retry-After": f"{seconds:.2f}"})
        self._log_end(REFUSED_STATUS, reason, **inputs)
        self.count("refused")
        message = f"Not run: {reason}; try again.\n".encode()
        self._answer.send(REFUSED_STATUS, headers, message)

    def fail(
        self,
        status: int,
        reason: str,
        message: str,
        headers: Mapping[str, str] = NO_HEADERS,
        **inputs: float | str,
    ) -> None:
        """Answer with an error, or that the outcome is not known."""
        self._log_end(status, reason, **inputs)
        self.count("failed")
        self._answer.send(status, self._make_headers(headers), f"{message}\n".encode())

    def break_off(self) -> None:
        """Abort a stream, so that it does not look complete."""
        self._answer.abort()
        self.count("broken")

    def pass_on(self, head: AnswerHead, content: bytes) -> None:
        """Send an upstream's complete answer to the caller.

        A status of refusals is passed on only if it is true.
        """
        if head.status in REFUSAL_STATUSES:
            if not self.ledger.is_surely_not_run:
                self.fail(OUTCOME_UNKNOWN.status, "unproven", OUTCOME_UNKNOWN.message)
                return
            self.ledger.close()
        self._note_first_byte()
        headers = strip_hop_headers(head.headers)
        self._answer.send(head.status, headers, content)
        self.count("answered" if head.status < 400 else "upstream_error")

    def begin_stream(self, head: AnswerHead) -> None:
        """Send the head of a stream to the caller."""
        self._first_byte_at = self._deps.clock.monotonic()
        self._note_first_byte()
        self._answer.begin(head.status, strip_hop_headers(head.headers))
        for note in self.on_begin:
            note()

    def begin_large(self, head: AnswerHead, length: int | None) -> None:
        """Send the head of a plain answer that is passed on as it comes."""
        self._is_large = True
        self._status = head.status
        self._note_first_byte()
        headers = strip_hop_headers(head.headers)
        if length is not None:
            headers["Content-Length"] = str(length)
        self._answer.begin(head.status, headers)
        for note in self.on_begin:
            note()
        if self.pace is not None:
            self.pace.watch_progress(self.on_progress)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a part of a stream; returns what to await if the caller is slow."""
        now = self._deps.clock.monotonic()
        if self._passed_at is not None:
            self._longest_pause = max(self._longest_pause, now - self._passed_at)
        self._passed_at = now
        self._passed += len(data)
        return self._answer.write(data) if data else None

    def end_stream(self) -> None:
        """Send the end of an answer that was begun to the caller."""
        self._answer.end()
        self.count("upstream_error" if self._status >= 400 else "answered")

    def count(self, outcome: str) -> None:
        """Count the outcome of the request."""
        self._deps.count_answer(self.route, outcome)

    def _note_first_byte(self) -> None:
        age = self._deps.clock.monotonic() - self._incoming.received_at
        self._deps.record_first_byte(self.route, age)

    def _make_headers(self, headers: Mapping[str, str]) -> HTTPHeaders:
        """Return the headers of an answer of this gateway, which name the request."""
        own = self._deps.adapter.build_answer_headers(self.request)
        return HTTPHeaders({"Content-Type": "text/plain", **own, **headers})

    def _to_age(self, at: timedelta) -> float:
        return round((at - self._incoming.received_at).total_seconds() * 1000, 1)

    def describe_caller(self) -> dict[str, str]:
        """Return the log fields that name the caller, if there are organisations."""
        fields = {
            "organisation": self.organisation,
            "key_fingerprint": self.key_fingerprint,
        }
        return {name: value for name, value in fields.items() if value}

    def _log_end(self, status: int, reason: str, **inputs: float | str) -> None:
        self._deps.events.record(
            "request.ended",
            request=self.request,
            status=status,
            reason=reason,
            route=self.route,
            version=self.version,
            age_ms=self.age_ms,
            **self._incoming.describe_connection(),
            **self.describe_caller(),
            **inputs,
        )
