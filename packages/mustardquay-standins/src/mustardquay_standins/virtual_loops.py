"""Virtual loops: an asyncio event loop and clock in virtual time, for tests."""

import asyncio
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
            timers = [timer for timer in self._scheduled if not timer.cancelled()]
            if not timers:
                raise RuntimeError("Nothing is ready and no timer is pending.")
            self._elapsed = max(self._elapsed, min(timers).when())
        super()._run_once()


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
