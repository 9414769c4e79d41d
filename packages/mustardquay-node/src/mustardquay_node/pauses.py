"""Pauses: limits on waits that leave out the time in which this process did not run.

A process that was stopped, or starved of processor time, wakes with its timers due and
with what its peers sent meanwhile unread in its sockets. The timers come first, so a
limit in plain time ends every wait as it wakes, although its peers were well. Here a
limit is counted in steps, and a step that ends late is not counted: behind it comes at
least one in which the loop reads what waits.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from math import ceil
from typing import Any

__all__ = ["AwakeTimer", "PauseMeter", "SilenceLimit", "awake_timeout"]

STEP = timedelta(milliseconds=100)
"""Longest step. Events of a stream come 50 to 110 ms apart, so that one that flows
seldom takes a whole step."""
PAUSE = timedelta(milliseconds=100)
"""Lateness of a step from which the process counts as paused. A loop that starts a
whole site in one process runs up to 40 ms late."""


class AwakeTimer:
    """Calls back once after a time in which this process ran."""

    __slots__ = ("_callback", "_due", "_handle", "_left", "_loop", "_seconds")

    def __init__(self, limit: timedelta, callback: Callable[[], None]):
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._left = max(ceil(limit / STEP), 1)
        self._seconds = limit.total_seconds() / self._left
        self._begin_step()

    def cancel(self) -> None:
        """Don't call back any more."""
        self._handle.cancel()

    def _begin_step(self) -> None:
        self._due = self._loop.time() + self._seconds
        self._handle = self._loop.call_at(self._due, self._end_step)

    def _end_step(self) -> None:
        if self._loop.time() - self._due <= PAUSE.total_seconds():
            self._left -= 1
        if self._left:
            self._begin_step()
        else:
            self._callback()


class PauseMeter:
    """Measures for how long this process did not run, until it is closed."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._lost = 0.0
        self._begin_step()

    @property
    def lost(self) -> timedelta:
        """Return the time lost so far, also in a pause that has just ended."""
        return timedelta(seconds=self._lost + self._measure_step())

    def close(self) -> None:
        """Measure no more."""
        self._handle.cancel()

    def _begin_step(self) -> None:
        self._begun = self._loop.time()
        self._handle = self._loop.call_later(STEP.total_seconds(), self._end_step)

    def _end_step(self) -> None:
        self._lost += self._measure_step()
        self._begin_step()

    def _measure_step(self) -> float:
        """Return the seconds that the step has taken so far, 0 if it isn't late.

        All of them: where in its step the process was paused is not known, and of
        pauses in a row each would go unseen for up to a step.
        """
        taken = self._loop.time() - self._begun
        return taken if taken > (STEP + PAUSE).total_seconds() else 0.0


@asynccontextmanager
async def awake_timeout(limit: timedelta) -> AsyncIterator[None]:
    """Raise `TimeoutError` after a time in which this process ran."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        timer = AwakeTimer(limit, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()


class SilenceLimit:
    """Raises `TimeoutError` in its block after a time in which nothing was noted.

    Guards against limits on the whole of a long answer, by which one that comes
    steadily over a narrow link is ended, asked for again, and ended again.
    """

    def __init__(self, first: timedelta, between: timedelta):
        """Take the limits before anything is noted and after that."""
        self._limit = first
        self._between = between
        self._scope = asyncio.timeout(None)
        self._timer: AwakeTimer | None = None

    async def __aenter__(self) -> "SilenceLimit":
        await self._scope.__aenter__()
        self._begin()
        return self

    async def __aexit__(self, *error: Any) -> bool | None:
        self._timer.cancel()
        return await self._scope.__aexit__(*error)

    def note(self) -> None:
        """Note that something has come."""
        self._limit = self._between
        if self._timer is not None:
            self._timer.cancel()
            self._begin()

    def _begin(self) -> None:
        self._timer = AwakeTimer(self._limit, self._end)

    def _end(self) -> None:
        self._scope.reschedule(asyncio.get_running_loop().time())
