"""Callbacks of a simulation, called in the order of their times on a virtual clock."""

from collections.abc import Callable
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count

from mustardquay.clocks import VirtualClock

__all__ = ["EventQueue"]


class EventQueue:
    """The pending callbacks; those of the same time are called as they were added."""

    def __init__(self, clock: VirtualClock):
        self._clock = clock
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock.monotonic().total_seconds()

    def at(self, at: float, act: Callable[[], None]) -> None:
        """Call back at a time."""
        heappush(self._events, (at, next(self._order), act))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Call back after some seconds."""
        self.at(self.now + seconds, act)

    def run_next(self) -> bool:
        """Call the next callback; return whether there was one."""
        if not self._events:
            return False
        at, _, act = heappop(self._events)
        passed = timedelta(seconds=at) - self._clock.monotonic()
        self._clock.advance(max(passed, timedelta()))
        act()
        return True
