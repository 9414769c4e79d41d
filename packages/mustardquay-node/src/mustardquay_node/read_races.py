"""Read races: one read of the store, with others beside it while it does not get on.

A read that moves bytes is never ended for another one: what it has is worth more than
a new beginning. One that is silent gets another beside it, on a new connection, and the
first to end wins; Dean and Barroso, "The Tail at Scale" (2013), call these hedged
requests.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

from mustardquay.clocks import Clock

from .adapters import HistoryLost, ReadOptions

__all__ = ["EndedRead", "RaceEvents", "ReadRace"]

SPACING = timedelta(milliseconds=800)
"""Silence, beyond the time for which the store may hold a read, after which another
one begins. A slow store answers in 300 ms."""
NEWS_PATIENCE = timedelta(milliseconds=300)
"""The same where it is known that the store has something to tell."""
STALL = timedelta(milliseconds=600)
"""Time without a byte after which a read that has moved some counts as silent."""
MOST_READS = 4
"""Reads at the same time: a fourth begins when the first has been silent for 2.4 s."""

Found = TypeVar("Found")


@dataclass(frozen=True, slots=True)
class EndedRead:
    """A read that has brought nothing."""

    reason: str
    age: timedelta
    bytes: int


@dataclass(frozen=True, slots=True)
class RaceEvents:
    """Whom a race tells of what happens in it."""

    note_silence: Callable[[], None]
    """Hears that no read gets on, so that another one begins."""
    note_ended: Callable[[EndedRead], None]


@dataclass(slots=True, eq=False)
class _Read(Generic[Found]):
    begun_at: timedelta
    bytes: int = 0
    task: "asyncio.Task[Found] | None" = None


class ReadRace(Generic[Found]):
    """One read, until it or another one beside it has ended."""

    def __init__(
        self,
        open_read: Callable[[bool, ReadOptions], Awaitable[Found]],
        clock: Clock,
        events: RaceEvents,
    ):
        """Take `open_read`, which is told whether its read is the first one."""
        self._open_read = open_read
        self._clock = clock
        self._events = events
        self._reads: list[_Read[Found]] = []
        self._begun = 0
        self._newest_due = timedelta()
        """When the read that was begun last counts as silent."""
        self._moved_at: timedelta | None = None
        self._news_at: timedelta | None = None
        self._has_news = asyncio.Event()

    def note_news(self) -> None:
        """Note that the store is known to have something to tell."""
        if self._news_at is None:
            self._news_at = self._clock.monotonic()
            self._has_news.set()

    async def run(self, hold: timedelta) -> Found:
        """Return what the first read brings that ends; the store may hold the first.

        Raises what the last one raised, if all fail.
        """
        try:
            self._begin(hold)
            while True:
                await self._wait()
                winner = self._take_ended()
                if winner is not None:
                    return winner.result()
                if self._is_due():
                    self._begin_beside()
        finally:
            await self._end_all()

    def _begin(self, hold: timedelta) -> None:
        read: _Read[Found] = _Read(self._clock.monotonic())
        options = ReadOptions(
            wait=hold,
            on_new_connection=self._begun > 0,
            note_bytes=lambda count: self._note_bytes(read, count),
        )
        work = self._open_read(self._begun == 0, options)
        self._begun += 1
        read.task = asyncio.ensure_future(work)
        self._reads.append(read)
        self._newest_due = read.begun_at + hold + SPACING

    def _begin_beside(self) -> None:
        if not self._knows_news():
            self._events.note_silence()
        self._begin(timedelta())

    async def _wait(self) -> None:
        """Wait until a read has ended, another one is due, or there is news."""
        tasks: set[asyncio.Future] = {read.task for read in self._reads}
        news = None
        if not self._has_news.is_set():
            news = asyncio.ensure_future(self._has_news.wait())
            tasks.add(news)
        try:
            await asyncio.wait(
                tasks,
                timeout=self._measure_patience(),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            if news is not None:
                news.cancel()

    def _measure_patience(self) -> float | None:
        """Return the seconds until another read is due, None if there is none."""
        if len(self._reads) >= MOST_READS:
            return None
        left = self._find_due() - self._clock.monotonic()
        return max(left.total_seconds(), 0.0)

    def _is_due(self) -> bool:
        if len(self._reads) >= MOST_READS:
            return False
        return self._clock.monotonic() >= self._find_due()

    def _find_due(self) -> timedelta:
        due = self._newest_due
        if self._knows_news():
            due = min(due, self._news_at + NEWS_PATIENCE)
        if self._moved_at is not None:
            due = max(due, self._moved_at + STALL)
        return due

    def _knows_news(self) -> bool:
        """Return whether the first read is silent although there is something to tell.

        Once another one has begun, what is known makes the next one no more urgent.
        """
        return self._news_at is not None and self._begun == 1

    def _note_bytes(self, read: _Read[Found], count: int) -> None:
        """Note that a read gets on; those without a byte are further from their end.

        They would share a narrow link with it, and bring the same.
        """
        read.bytes += count
        self._moved_at = self._clock.monotonic()
        for other in self._reads:
            if other is not read and not other.bytes and not other.task.done():
                other.task.cancel()

    def _take_ended(self) -> "asyncio.Task[Found] | None":
        """Return the read that has won; drops those that have failed.

        Raises what the last of them raised once there is none left.
        """
        ended = [read for read in self._reads if read.task.done()]
        self._reads = [read for read in self._reads if read not in ended]
        error = None
        for read in ended:
            if read.task.cancelled():
                self._note_ended(read, "outrun")
                continue
            error = read.task.exception()
            if error is None:
                self._note_losers()
                return read.task
            if self._reads or read.bytes:
                self._note_ended(read, repr(error))
        if error is not None and (not self._reads or isinstance(error, HistoryLost)):
            raise error
        return None

    def _note_losers(self) -> None:
        for read in self._reads:
            self._note_ended(read, "another_won")

    def _note_ended(self, read: _Read[Found], reason: str) -> None:
        age = self._clock.monotonic() - read.begun_at
        self._events.note_ended(EndedRead(reason, age, read.bytes))

    async def _end_all(self) -> None:
        tasks = [read.task for read in self._reads]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
