"""How answers, refusals and outcomes are sent to a caller over HTTP."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from math import ceil
from typing import Any

import orjson

from mustardquay.actions import Finish
from mustardquay.errors import Reason, Refusal
from mustardquay.messages import Header
from mustardquay.outcomes import Outcome

__all__ = [
    "BufferedSink",
    "StreamSink",
    "choose_status",
    "count_retry_seconds",
    "encode_error",
]

ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}
"""Error types of the OpenAI API by status; all others are "server_error"."""

REFUSAL_STATUSES = {
    Reason.CONTRACT: 403,
    Reason.OVERLOAD: 429,
}
"""Statuses of requests that were not run, by reason; all others are 503."""


def choose_status(end: Finish) -> int:
    """Return the HTTP status of a request that has no answer."""
    assert end.refusal is not None
    if end.outcome is Outcome.NOT_RUN:
        return REFUSAL_STATUSES.get(end.refusal.reason, 503)
    if end.refusal.reason is Reason.DEADLINE:
        return 504
    return 502


def count_retry_seconds(wait: timedelta) -> int:
    """Return the value of `Retry-After`, in whole seconds, at least 1."""
    return max(ceil(wait.total_seconds()), 1)


def encode_error(
    status: int, message: str, code: str, field: str | None = None, outcome: str = ""
) -> bytes:
    """Return the body of an error in the format of the OpenAI API."""
    error: dict[str, Any] = {
        "message": message,
        "type": ERROR_TYPES.get(status, "server_error"),
        "param": field,
        "code": code,
    }
    if outcome:
        error["outcome"] = outcome
    return orjson.dumps({"error": error})


class BufferedSink:
    """Buffers an answer until its end; that of a retry replaces a partial one."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._on_taken: Callable[[int], None] = lambda size: None
        self.status = 0
        self.headers: tuple[Header, ...] = ()
        self.first = asyncio.get_running_loop().create_future()
        """Resolves at the end, or earlier with the refusal of `answer_early`."""
        self.ended: asyncio.Future[Finish] = asyncio.get_running_loop().create_future()

    @property
    def body(self) -> bytes:
        """Return the part of the body that was received so far."""
        return b"".join(self._parts)

    def connect(self, taken: Callable[[int], None]) -> None:
        """Set the callback that gets the size of each part the caller has taken."""
        self._on_taken = taken

    def take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Begin an answer, replacing that of an attempt that failed."""
        self.status = status
        self.headers = headers
        self._parts.clear()

    def take_data(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._parts.append(data)
        self._on_taken(len(data))

    def answer_early(self, refusal: Refusal) -> None:
        """Resolve `first` with an unknown outcome; the work goes on."""
        if not self.first.done():
            self.first.set_result(Finish(Outcome.UNKNOWN, refusal))

    def finish(self, end: Finish) -> None:
        """Resolve `ended` with the outcome."""
        self.ended.set_result(end)
        if not self.first.done():
            self.first.set_result(end)


class StreamSink:
    """Writes a stream of events to the caller as they arrive.

    Data that arrives within one iteration of the event loop is written together. An
    answer with a status other than 200 is buffered, since that of a retry may still
    replace it.
    """

    def __init__(
        self,
        begin: Callable[[tuple[Header, ...]], None],
        write: Callable[[bytes], "asyncio.Future[None]"],
        now: Callable[[], timedelta],
        schedule: Callable[[Callable[[], None]], None],
    ):
        """Take the callbacks that send the headers and the data.

        `schedule` runs a function in the next iteration of the event loop.
        """
        self._begin = begin
        self._write = write
        self._now = now
        self._schedule = schedule
        self._buffered = BufferedSink()
        self._pending: list[bytes] = []
        self._scheduled = False
        self._writing: asyncio.Future[None] | None = None
        self._on_taken: Callable[[int], None] = lambda size: None
        self.streaming = False
        self.first_data_at: timedelta | None = None
        self.last_data_at: timedelta | None = None
        self.blocked_since: timedelta | None = None
        """When the caller stopped reading, or None while it keeps up."""
        self.ended = self._buffered.ended

    @property
    def buffered(self) -> BufferedSink:
        """Return the answer of a request that did not become a stream."""
        return self._buffered

    def connect(self, taken: Callable[[int], None]) -> None:
        """Set the callback that gets the size of each part the caller has taken."""
        self._on_taken = taken
        self._buffered.connect(taken)

    def take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Begin the stream, or buffer an answer that isn't a stream."""
        if status == 200:
            self.streaming = True
            self._begin(headers)
        else:
            self._buffered.take_head(status, headers)

    def take_data(self, data: bytes) -> None:
        """Schedule a part to be written in the next iteration of the event loop."""
        if not self.streaming:
            self._buffered.take_data(data)
            return
        self.last_data_at = self._now()
        if self.first_data_at is None:
            self.first_data_at = self.last_data_at
        self._pending.append(data)
        if not self._scheduled and self._writing is None:
            self._scheduled = True
            self._schedule(self.flush)

    def answer_early(self, refusal: Refusal) -> None:
        """Do nothing: streams are idempotent, and so are never answered early."""

    def finish(self, end: Finish) -> None:
        """Write what is pending and resolve `ended` with the outcome."""
        self.flush()
        self._buffered.finish(end)

    def flush(self) -> None:
        """Write the pending data, unless the previous write is still under way."""
        self._scheduled = False
        if not self._pending or self._writing is not None:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        writing = self._write(data)
        if writing.done():
            self._on_taken(len(data))
            return
        self._writing = writing
        self.blocked_since = self._now()
        writing.add_done_callback(lambda _: self._end_write(len(data)))

    def take_rest(self) -> bytes:
        """Return and clear the data that was not written yet."""
        data = b"".join(self._pending)
        self._pending.clear()
        return data

    def _end_write(self, size: int) -> None:
        self._writing = None
        self.blocked_since = None
        self._on_taken(size)
        self.flush()
