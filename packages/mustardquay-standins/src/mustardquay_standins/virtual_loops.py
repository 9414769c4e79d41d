"""Virtual loops: an asyncio loop and a clock that never wait, for tests."""

import asyncio
from datetime import UTC, datetime, timedelta

__all__ = ["LoopClock", "VirtualLoop"]

START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when nothing is ready.

    For work without sockets: it raises `RuntimeError` when nothing is left that
    could wake it.
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
                raise RuntimeError("Nothing is left that could wake the loop.")
            self._elapsed = max(self._elapsed, min(timers).when())
        super()._run_once()


class LoopClock:
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop):
        self._loop = loop

    def now(self) -> datetime:
        """Return a fixed start plus the loop's time."""
        return START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return timedelta(seconds=self._loop.time())
