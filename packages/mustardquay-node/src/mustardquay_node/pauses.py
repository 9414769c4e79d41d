"""Timeouts that leave out the time in which this process was paused.

A process that was stopped, or starved of processor time, resumes with expired timers
and with unread data in its sockets. The event loop runs the timers first, so ordinary
timeouts would end every wait, although the peers did answer. These timeouts are counted
in steps, and a step that ends late is not counted: at least one more step follows, in
which the loop reads the data.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from math import ceil
from typing import Any

__all__ = ["RunningTimer", "PauseMeter", "IdleTimeout", "running_timeout"]

MAX_STEP = timedelta(milliseconds=100)
"""Longest step of a timeout. Events of a stream come 50 to 110 ms apart, so an active
stream seldom completes a step."""
PAUSE_THRESHOLD = timedelta(milliseconds=100)
"""A process counts as paused if a step ends later than this. An event loop that starts
a whole site in one process runs up to 40 ms late."""


class RunningTimer:
    """Calls back once after this process has run for a given time."""

    __slots__ = ("_callback", "_due", "_handle", "_left", "_loop", "_seconds")

    def __init__(self, limit: timedelta, callback: Callable[[], None]):
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._left = max(ceil(limit / MAX_STEP), 1)
        self._seconds = limit.total_seconds() / self._left
        self._begin_step()

    def cancel(self) -> None:
        """Cancel the callback."""
        self._handle.cancel()

    def _begin_step(self) -> None:
        self._due = self._loop.time() + self._seconds
        self._handle = self._loop.call_at(self._due, self._end_step)

    def _end_step(self) -> None:
        if self._loop.time() - self._due <= PAUSE_THRESHOLD.total_seconds():
            self._left -= 1
        if self._left:
            self._begin_step()
        else:
            self._callback()


class PauseMeter:
    """Measures how long this process was paused, until it is closed."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._lost = 0.0
        self._begin_step()

    @property
    def lost(self) -> timedelta:
        """Return the time lost to pauses, including one that has just ended."""
        return timedelta(seconds=self._lost + self._measure_step())

    def close(self) -> None:
        """Stop measuring."""
        self._handle.cancel()

    def _begin_step(self) -> None:
        self._begun = self._loop.time()
        self._handle = self._loop.call_later(MAX_STEP.total_seconds(), self._end_step)

    def _end_step(self) -> None:
        self._lost += self._measure_step()
        self._begin_step()

    def _measure_step(self) -> float:
        """Return the seconds that the step has taken so far, 0 if it isn't late.

        A late step counts whole. When the pause began within it is not known, and with
        pauses in a row, up to a step of each would be missed.
        """
        taken = self._loop.time() - self._begun
        return taken if taken > (MAX_STEP + PAUSE_THRESHOLD).total_seconds() else 0.0


@asynccontextmanager
async def running_timeout(limit: timedelta) -> AsyncIterator[None]:
    """Raise `TimeoutError` in the block after this process has run for a given time."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        timer = RunningTimer(limit, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()


class IdleTimeout:
    """Raises `TimeoutError` in its block after a time without a call of `note`.

    A timeout for a whole long answer would end one that arrives steadily over a slow
    link, and then each retry of it.
    """

    def __init__(self, first: timedelta, between: timedelta):
        """Take the timeouts until the first call of `note` and between calls."""
        self._limit = first
        self._between = between
        self._scope = asyncio.timeout(None)
        self._timer: RunningTimer | None = None

    async def __aenter__(self) -> "IdleTimeout":
        await self._scope.__aenter__()
        self._begin()
        return self

    async def __aexit__(self, *error: Any) -> bool | None:
        self._timer.cancel()
        return await self._scope.__aexit__(*error)

    def note(self) -> None:
        """Restart the timeout, as data has arrived."""
        self._limit = self._between
        if self._timer is not None:
            self._timer.cancel()
            self._begin()

    def _begin(self) -> None:
        self._timer = RunningTimer(self._limit, self._end)

    def _end(self) -> None:
        self._scope.reschedule(asyncio.get_running_loop().time())
