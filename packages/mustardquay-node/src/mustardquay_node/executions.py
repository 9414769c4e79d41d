"""Executions: one run on its upstream, from its first byte to its answer's end."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Literal

from mustardquay.messages import Header

from .runs import Run
from .streams import EventCutter
from .upstreams import UpstreamCall

__all__ = ["Execution"]

FIRST_ERROR = 500
"""Lowest status with which an engine says that it failed, not the request."""


class Execution:
    """Carries the answer of an upstream's call over to its run."""

    def __init__(
        self,
        run: Run,
        kind: Literal["engine", "service"],
        now: Callable[[], timedelta],
        sending: Callable[[Run], None],
        answering: Callable[[Run], None],
    ):
        """Prepare the call.

        `sending` is called just before its first byte, and `answering` with the
        first data of the answer.
        """
        self.run = run
        self.stalled = False
        """Whether it was ended because the upstream made no progress."""
        self.tokens = 0
        self._kind = kind
        self._now = now
        self._sending = sending
        self._answering = answering
        self._cutter = EventCutter()
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
        """Return the status of the answer, 0 before there is one."""
        return self._status

    @property
    def has_engine_error(self) -> bool:
        """Return whether the answer says that the engine failed."""
        return self._kind == "engine" and self._status >= FIRST_ERROR

    @property
    def has_end_mark(self) -> bool:
        """Return whether the answer, if it is a stream, has come to its end mark."""
        return not self._is_stream or self._cutter.is_done

    def stop(self, stalled: bool = False) -> None:
        """Close the connection; the call then ends as broken, or as not sent."""
        self.stalled = stalled
        self.call.cancel()

    def _note_sending(self) -> None:
        self.run.start(self._now())
        self._sending(self.run)

    def _take_head(self, status: int, headers: tuple[Header, ...]) -> None:
        self._status = status
        self.run.progress_at = self._now()
        if not self.has_engine_error:
            self.run.add_head(status, headers)

    def _take_data(self, data: bytes) -> "asyncio.Future[None] | None":
        run = self.run
        run.progress_at = self._now()
        if self.has_engine_error:
            return None
        if not run.first_data:
            run.first_data = True
            self._answering(run)
        tokens = 0
        if self._is_stream:
            data = self._cutter.feed(data)
            tokens = data.count(b"\n\n")
            self.tokens += tokens
        if data:
            run.add_chunk(data, tokens)
        if run.is_held_back:
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
