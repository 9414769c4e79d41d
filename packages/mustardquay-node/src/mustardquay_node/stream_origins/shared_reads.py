"""Shared reads: requests that need the same rows of the store share one read."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Generic, TypeVar

from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError

__all__ = ["SharedRead"]

Result = TypeVar("Result")


class SharedRead(Generic[Result]):
    """A read that is made once at a time, and not more often than at an interval."""

    def __init__(
        self,
        clock: Clock,
        read: Callable[[], Awaitable[Result]],
        interval: timedelta,
        timeout: timedelta,
        note_failed: Callable[[str], None],
    ):
        """Take `read`, the minimum time between two reads, and how long callers wait.

        `note_failed` is called with the error of a read that failed.
        """
        self._clock = clock
        self._read = read
        self._interval = interval
        self._timeout = timeout
        self._note_failed = note_failed
        self._begun_at: timedelta | None = None
        self._result: Result | None = None
        self._lock = asyncio.Lock()

    async def run(self) -> Result | None:
        """Return the result of a read that began now or later, None without one."""
        asked_at = self._clock.monotonic()
        try:
            async with asyncio.timeout(self._timeout.total_seconds()), self._lock:
                if self._begun_at is None or self._begun_at < asked_at:
                    await self._begin()
                return self._result
        except TimeoutError:
            return None

    async def _begin(self) -> None:
        if self._begun_at is not None:
            due = self._begun_at + self._interval - self._clock.monotonic()
            await asyncio.sleep(max(due.total_seconds(), 0))
        self._begun_at, self._result = self._clock.monotonic(), None
        try:
            self._result = await self._read()
        except MustardquayError as error:
            self._note_failed(str(error))
