"""Virtual loops: an asyncio event loop and clock in virtual time, for tests."""

import asyncio
import heapq
from datetime import UTC, datetime, timedelta

__all__ = ["LoopClock", "VirtualLoop"]

START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances to the next timer when nothing is ready.

    It supports work without sockets only: when nothing is ready and no timer is
    pending, it raises `RuntimeError`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._elapsed = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._elapsed

    def _run_once(self) -> None:
        if not self._ready:
            self._drop_cancelled()
            if not self._scheduled:
                raise RuntimeError("Nothing is ready and no timer is pending.")
            self._elapsed = max(self._elapsed, self._scheduled[0].when())
        super()._run_once()

    def _drop_cancelled(self) -> None:
        """Drop cancelled timers from the head of the heap, as `_run_once` does."""
        while self._scheduled and self._scheduled[0].cancelled():
            timer = heapq.heappop(self._scheduled)
            timer._scheduled = False
            self._timer_cancelled_count -= 1


class LoopClock:
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop):
        self._loop = loop

    def now(self) -> datetime:
        """Return a fixed start time plus the loop's time."""
        return START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return timedelta(seconds=self._loop.time())
