"""Executions: the upstream call of one run, from the request to the answer's end."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Literal

from mustardquay.messages import Header
from mustardquay.run_evidence import REFUSAL_STATUSES

from .runs import Run
from .streams import EventFramer
from .upstreams import UpstreamCall

__all__ = ["Execution"]

MIN_ERROR_STATUS = 500
"""Lowest status that reports a failure of the engine, not of the request."""


class Execution:
    """Makes the upstream call of a run and passes the answer on to it."""

    def __init__(
        self,
        run: Run,
        kind: Literal["engine", "service"],
        now: Callable[[], timedelta],
        on_send: Callable[[Run], None],
        on_first_data: Callable[[Run], None],
    ):
        """Create the call.

        `on_send` is called just before its first byte is sent, and `on_first_data`
        when the first data of the answer arrives.
        """
        self.run = run
        self.stalled = False
        """Whether the call was ended because the upstream made no progress."""
        self.tokens = 0
        self._kind = kind
        self._now = now
        self._on_send = on_send
        self._on_first_data = on_first_data
        self._framer = EventFramer()
        self._status = 0
        self.call = UpstreamCall(
            run.attempt.method,
            run.attempt.path,
            self._make_headers(),
            run.attempt.body,
            self._take_head,
            self._take_data,
            self._note_sending,
        )

    @property
    def status(self) -> int:
        """Return the status of the answer, or 0 before it has arrived."""
        return self._status

    @property
    def has_failed(self) -> bool:
        """Return whether the answer is a failure that isn't passed on.

        A status of refusals would promise callers that nothing was run, which no
        upstream of an agent says.
        """
        if self._status in REFUSAL_STATUSES:
            return True
        return self._kind == "engine" and self._status >= MIN_ERROR_STATUS

    @property
    def has_end_mark(self) -> bool:
        """Return whether the answer is complete: a stream needs its end mark."""
        return not self._is_stream or self._framer.is_done

    def stop(self, stalled: bool = False) -> None:
        """Close the connection; the call ends as `BROKEN` or `NOT_SENT`."""
        self.stalled = stalled
        self.call.cancel()

    def _note_sending(self) -> None:
        self.run.start(self._now())
        self._on_send(self.run)

    def _take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        self._status = status
        self.run.progress_at = self._now()
        if not self.has_failed:
            self.run.add_head(status, headers)

    def _take_data(self, data: bytes) -> "asyncio.Future[None] | None":
        run = self.run
        run.progress_at = self._now()
        if self.has_failed:
            return None
        if not run.first_data:
            run.first_data = True
            self._on_first_data(run)
        tokens = 0
        if self._is_stream:
            data = self._framer.feed(data)
            tokens = data.count(b"\n\n")
            self.tokens += tokens
        if data:
            run.add_chunk(data, tokens)
        if run.waits_for_caller:
            return asyncio.ensure_future(run.wait_for_credit())
        return None

    @property
    def _is_stream(self) -> bool:
        return self.run.attempt.streamed and self._status == 200

    def _make_headers(self) -> tuple[Header, ...]:
        attempt = self.run.attempt
        if self._kind == "service":
            return attempt.headers
        return (
            *attempt.headers,
            ("X-Request-Id", attempt.request),
            ("X-Priority", str(attempt.priority)),
        )
