"""Hedged reads of the store: while a read is silent, others are started beside it.

A read that receives bytes is never cancelled for another one, as it is closer to its
end than a new one. Beside a silent read, another one is started on a new connection,
and the first to complete wins. See Dean and Barroso, "The Tail at Scale" (2013), on
hedged requests.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

from mustardquay.clocks import Clock

from .adapters import HistoryLost, ReadOptions

__all__ = ["HEDGE_DELAY", "DiscardedRead", "HedgeCallbacks", "HedgedRead"]

HEDGE_DELAY = timedelta(milliseconds=800)
"""Silence, beyond the time for which the store may hold a read, after which another
read is started unless a read has its own limit. A slow store answers in 300 ms."""
CHANGE_HEDGE_DELAY = timedelta(milliseconds=300)
"""The same if the store is known to have a change."""
STALL_TIMEOUT = timedelta(milliseconds=600)
"""Time without a byte after which a read that has received some counts as silent."""
MAX_READS = 4
"""Most concurrent reads; the fourth starts after 2.4 s of silence of the first."""

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class DiscardedRead:
    """A read that failed or was not needed."""

    reason: str
    age: timedelta
    bytes: int


@dataclass(frozen=True, slots=True)
class HedgeCallbacks:
    """Callbacks of a hedged read."""

    note_silence: Callable[[], None]
    """Called when no read has made progress for `HEDGE_DELAY`, before another one is
    started."""
    note_discarded: Callable[[DiscardedRead], None]


@dataclass(slots=True, eq=False)
class _Read(Generic[Result]):
    begun_at: timedelta
    bytes: int = 0
    task: "asyncio.Task[Result] | None" = None


class HedgedRead(Generic[Result]):
    """One read with hedges, until the first of them completes."""

    def __init__(
        self,
        open_read: Callable[[bool, ReadOptions], Awaitable[Result]],
        clock: Clock,
        events: HedgeCallbacks,
        delay: timedelta = HEDGE_DELAY,
    ):
        """Take `open_read`, whose first argument is whether the read is the first.

        Another read is started after a silence of `delay`.
        """
        self._open_read = open_read
        self._clock = clock
        self._callbacks = events
        self._delay = delay
        self._reads: list[_Read[Result]] = []
        self._begun = 0
        self._lost_at = timedelta()
        """When the store counts as lost if no read makes progress until then."""
        self._newest_due = timedelta()
        """When the newest read counts as silent."""
        self._moved_at: timedelta | None = None
        self._change_at: timedelta | None = None
        self._has_change = asyncio.Event()

    def note_change(self) -> None:
        """Note that the store is known to have a change."""
        if self._change_at is None:
            self._change_at = self._clock.monotonic()
            self._has_change.set()

    async def run(self, hold: timedelta) -> Result:
        """Return the first result; the store may hold the first read for `hold`.

        Raises the error of the last read if all fail.
        """
        self._lost_at = self._clock.monotonic() + hold + HEDGE_DELAY
        try:
            self._begin(hold)
            while True:
                await self._wait()
                winner = self._take_winner()
                if winner is not None:
                    return winner.result()
                if self._is_due():
                    self._begin_hedge()
        finally:
            await self._cancel_all()

    def _begin(self, hold: timedelta) -> None:
        read: _Read[Result] = _Read(self._clock.monotonic())
        options = ReadOptions(
            wait=hold,
            on_new_connection=self._begun > 0,
            note_bytes=lambda count: self._note_bytes(read, count),
        )
        work = self._open_read(self._begun == 0, options)
        self._begun += 1
        read.task = asyncio.ensure_future(work)
        self._reads.append(read)
        self._newest_due = read.begun_at + hold + self._delay

    def _begin_hedge(self) -> None:
        is_lost = self._clock.monotonic() >= self._lost_at
        if is_lost and not self._misses_change():
            self._callbacks.note_silence()
        self._begin(timedelta())

    async def _wait(self) -> None:
        """Wait until a read has ended, another one is due, or a change is noted."""
        tasks: set[asyncio.Future] = {read.task for read in self._reads}
        change = None
        if not self._has_change.is_set():
            change = asyncio.ensure_future(self._has_change.wait())
            tasks.add(change)
        try:
            await asyncio.wait(
                tasks,
                timeout=self._measure_delay(),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            if change is not None:
                change.cancel()

    def _measure_delay(self) -> float | None:
        """Return the seconds until another read is due, None at the limit of reads."""
        if len(self._reads) >= MAX_READS:
            return None
        left = self._find_due() - self._clock.monotonic()
        return max(left.total_seconds(), 0.0)

    def _is_due(self) -> bool:
        if len(self._reads) >= MAX_READS:
            return False
        return self._clock.monotonic() >= self._find_due()

    def _find_due(self) -> timedelta:
        due = self._newest_due
        if self._misses_change():
            due = min(due, self._change_at + CHANGE_HEDGE_DELAY)
        if self._moved_at is not None:
            due = max(due, self._moved_at + STALL_TIMEOUT)
        return due

    def _misses_change(self) -> bool:
        """Return whether there is a change that the first read has not returned.

        Once another read has been started, a known change does not hasten the next one.
        """
        return self._change_at is not None and self._begun == 1

    def _note_bytes(self, read: _Read[Result], count: int) -> None:
        """Note the progress of a read, and cancel the reads without a byte.

        They are further from their end, and would use bandwidth of a slow link for the
        same data.
        """
        read.bytes += count
        self._moved_at = self._clock.monotonic()
        for other in self._reads:
            if other is not read and not other.bytes and not other.task.done():
                other.task.cancel()

    def _take_winner(self) -> "asyncio.Task[Result] | None":
        """Return the read that has won; remove those that have failed.

        Raises the error of the last one once there is none left.
        """
        ended = [read for read in self._reads if read.task.done()]
        self._reads = [read for read in self._reads if read not in ended]
        error = None
        for read in ended:
            if read.task.cancelled():
                self._note_discarded(read, "outrun")
                continue
            error = read.task.exception()
            if error is None:
                self._note_remaining()
                return read.task
            if self._reads or read.bytes:
                self._note_discarded(read, repr(error))
        if error is not None and (not self._reads or isinstance(error, HistoryLost)):
            raise error
        return None

    def _note_remaining(self) -> None:
        for read in self._reads:
            self._note_discarded(read, "another_won")

    def _note_discarded(self, read: _Read[Result], reason: str) -> None:
        age = self._clock.monotonic() - read.begun_at
        self._callbacks.note_discarded(DiscardedRead(reason, age, read.bytes))

    async def _cancel_all(self) -> None:
        tasks = [read.task for read in self._reads]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
