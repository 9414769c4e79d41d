"""Answers: how outcomes, refusals and answers reach the caller over HTTP."""

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
"""The types of the OpenAI API by status; all others are "server_error"."""

REFUSAL_STATUSES = {
    Reason.CONTRACT: 403,
    Reason.OVERLOAD: 429,
}
"""Statuses of true refusals; all others are 503."""


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
    """Return an error in the shape of the OpenAI API."""
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
    """Keeps an answer until it is whole; a retry's answer replaces a partial one."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._taken: Callable[[int], None] = lambda size: None
        self.status = 0
        self.headers: tuple[Header, ...] = ()
        self.first = asyncio.get_running_loop().create_future()
        """Done with the end, or with the refusal told early."""
        self.ended: asyncio.Future[Finish] = asyncio.get_running_loop().create_future()

    @property
    def body(self) -> bytes:
        """Return what has come of the body."""
        return b"".join(self._parts)

    def connect(self, taken: Callable[[int], None]) -> None:
        """Tell whom to tell how much was taken."""
        self._taken = taken

    def take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Begin an answer, in place of an earlier one that broke."""
        self.status = status
        self.headers = headers
        self._parts.clear()

    def take_data(self, data: bytes) -> None:
        """Keep a part."""
        self._parts.append(data)
        self._taken(len(data))

    def answer_early(self, refusal: Refusal) -> None:
        """Tell whoever waits that the outcome is unknown for now."""
        if not self.first.done():
            self.first.set_result(Finish(Outcome.UNKNOWN, refusal))

    def finish(self, end: Finish) -> None:
        """Take the outcome."""
        self.ended.set_result(end)
        if not self.first.done():
            self.first.set_result(end)


class StreamSink:
    """Writes a stream of events to the caller as they come.

    What comes within one turn of the loop is written at once. A head that is not
    200 is kept like that of a buffered answer, since it may still be replaced.
    """

    def __init__(
        self,
        begin: Callable[[tuple[Header, ...]], None],
        write: Callable[[bytes], "asyncio.Future[None]"],
        now: Callable[[], timedelta],
        schedule: Callable[[Callable[[], None]], None],
    ):
        """Take how to begin and write; `schedule` calls back in the next turn."""
        self._begin = begin
        self._write = write
        self._now = now
        self._schedule = schedule
        self._buffered = BufferedSink()
        self._pending: list[bytes] = []
        self._scheduled = False
        self._writing: asyncio.Future[None] | None = None
        self._taken: Callable[[int], None] = lambda size: None
        self.streaming = False
        self.first_data_at: timedelta | None = None
        self.last_data_at: timedelta | None = None
        self.blocked_since: timedelta | None = None
        """When the caller stopped to take data, or None while it keeps up."""
        self.ended = self._buffered.ended

    @property
    def buffered(self) -> BufferedSink:
        """Return the answer of a request that did not stream after all."""
        return self._buffered

    def connect(self, taken: Callable[[int], None]) -> None:
        """Tell whom to tell how much was taken."""
        self._taken = taken
        self._buffered.connect(taken)

    def take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Begin the stream, or keep an answer that is none."""
        if status == 200:
            self.streaming = True
            self._begin(headers)
        else:
            self._buffered.take_head(status, headers)

    def take_data(self, data: bytes) -> None:
        """Write with the end of this turn of the loop."""
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
        """Streams are idempotent, and so are never answered early."""

    def finish(self, end: Finish) -> None:
        """Write the rest and take the outcome."""
        self.flush()
        self._buffered.finish(end)

    def flush(self) -> None:
        """Write what has come, unless the caller has not taken the last of it."""
        self._scheduled = False
        if not self._pending or self._writing is not None:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        writing = self._write(data)
        if writing.done():
            self._taken(len(data))
            return
        self._writing = writing
        self.blocked_since = self._now()
        writing.add_done_callback(lambda _: self._end_write(len(data)))

    def take_rest(self) -> bytes:
        """Return what was not written yet."""
        data = b"".join(self._pending)
        self._pending.clear()
        return data

    def _end_write(self, size: int) -> None:
        self._writing = None
        self.blocked_since = None
        self._taken(size)
        self.flush()
