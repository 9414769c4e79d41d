"""Queues: the order in which an agent starts the work that waits for its engine."""

from collections import deque
from datetime import timedelta

from .errors import Reason, Refusal
from .works import Work

__all__ = ["FairQueue"]


class FairQueue:
    """Work that waits at one agent, bounded in number."""

    def __init__(self, capacity: int = 1000, concurrency: int = 32):
        self._capacity = capacity
        self._concurrency = concurrency
        self._waiting: deque[Work] = deque()
        self._running: dict[tuple[str, int], Work] = {}

    @property
    def waiting_tokens(self) -> int:
        """Return the sum of the prompt tokens that wait."""
        return sum(work.prompt_tokens for work in self._waiting)

    @property
    def waiting(self) -> int:
        """Return how many attempts wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many attempts run."""
        return len(self._running)

    def offer(self, work: Work, now: timedelta) -> Refusal | None:
        """Queue the work, or say at once that it can't be done in time."""
        if len(self._waiting) >= self._capacity:
            return Refusal(
                Reason.OVERLOAD,
                "The queue of this upstream is full; ask again later.",
                timedelta(seconds=1),
            )
        self._waiting.append(work)
        return None

    def take(self, now: timedelta) -> Work | None:
        """Return the next work to start, or None while the engine is full."""
        if not self._waiting or len(self._running) >= self._concurrency:
            return None
        work = self._waiting.popleft()
        self._running[work.key] = work
        return work

    def expire(self, now: timedelta) -> list[Work]:
        """Remove and return the waiting work that can't meet its deadline."""
        late = [work for work in self._waiting if work.start_by < now]
        for work in late:
            self._waiting.remove(work)
        return late

    def withdraw(self, key: tuple[str, int]) -> bool:
        """Remove waiting work; False when it does not wait here."""
        for work in self._waiting:
            if work.key == key:
                self._waiting.remove(work)
                return True
        return False

    def finish(self, key: tuple[str, int], output_tokens: int, now: timedelta) -> None:
        """Note that a running attempt has ended and what it produced."""
        self._running.pop(key, None)
