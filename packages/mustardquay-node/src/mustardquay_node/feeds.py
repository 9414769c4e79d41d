"""Feeds: follow a table of the platform's store, through outages and lost history."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.budgets import draw_delay
from mustardquay.clocks import Clock
from mustardquay.events import EventRing

from .adapters import HistoryLost, StoreRow, StoreTables
from .sleeps import Sleep, sleep as default_sleep

__all__ = ["FeedOptions", "TableFeed"]

FIRST_RETRY = timedelta(milliseconds=100)
LONGEST_RETRY = timedelta(milliseconds=600)
"""The store's return must be seen well within the time in which a configuration has
to be in force; a process then makes some three calls a second while it is away."""


WAKE_INTERVAL = timedelta(milliseconds=500)
"""Least time between two reads that others ask for."""


@dataclass(frozen=True, slots=True)
class FeedOptions:
    """How a table is followed."""

    table: str
    wait: timedelta
    """How long the store holds a call that has nothing to tell. A connection that
    went silent is noticed that much later."""
    pace: timedelta = timedelta()
    """Pause between calls, for tables that change all the time."""


class TableFeed:
    """Calls back with the rows of a table: all of them first, then each change."""

    def __init__(
        self,
        store: StoreTables,
        options: FeedOptions,
        take: Callable[[Sequence[StoreRow], bool], None],
        events: EventRing,
        clock: Clock,
        random: Random,
        regained: Callable[[], None] = lambda: None,
        sleep: Sleep = default_sleep,
    ):
        """Take the callbacks: `take` gets rows and whether they are all there are.

        `regained` is called before the first rows that follow an outage.
        """
        self._store = store
        self._options = options
        self._take = take
        self._events = events
        self._clock = clock
        self._random = random
        self._regained = regained
        self._sleep = sleep
        self._version: int | None = None
        self._failures = 0
        self._lost_at: timedelta | None = None
        self._answered_at: timedelta | None = None
        self._task: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._begun_at = timedelta()
        self._bytes = 0
        """Bytes that the read under way has received."""
        self._woken_at = -WAKE_INTERVAL
        self._is_closing = False

    @property
    def answered_at(self) -> timedelta | None:
        """Return when the store last answered, on the monotonic clock."""
        return self._answered_at

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    def wake(self) -> None:
        """Read again at once, on another connection; at most once in a while."""
        now = self._clock.monotonic()
        if self._reading is None or now < self._woken_at + WAKE_INTERVAL:
            return
        self._woken_at = now
        self._events.record(
            "feed.read_ended",
            table=self._options.table,
            reason="woken",
            age_ms=round((now - self._begun_at).total_seconds() * 1000),
            bytes=self._bytes,
        )
        self._reading.cancel()

    async def close(self) -> None:
        """Stop to follow."""
        self._is_closing = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._reading = asyncio.create_task(self._read_once())
            try:
                await self._reading
            except asyncio.CancelledError:
                # Either the read was ended by `wake`, or the feed itself by `close`.
                if self._is_closing:
                    raise
            except HistoryLost:
                self._events.record("feed.history_lost", table=self._options.table)
                self._version = None
            except Exception as error:
                # Whatever it is, the feed must go on: without it, the process would
                # serve by an old list for the rest of its life.
                await self._wait_after(error)
            else:
                await self._sleep(self._options.pace)

    async def _read_once(self) -> None:
        options = self._options
        is_whole = self._version is None
        self._begun_at = self._clock.monotonic()
        self._bytes = 0
        if self._version is None:
            page = await self._store.list_rows(options.table, self._note_bytes)
        else:
            page = await self._store.follow(
                options.table, self._version, self._choose_wait(), self._note_bytes
            )
        self._answered_at = self._clock.monotonic()
        self._note_answer()
        self._take(page.rows, is_whole)
        self._version = page.version

    def _note_bytes(self, count: int) -> None:
        self._bytes += count

    def _choose_wait(self) -> timedelta:
        """Return how long the store may hold the next call.

        Guards against a call that was sent just before a silent store returns: it
        gets no answer and ends only when its wait is over, and changes that were made
        since the return are seen seconds late. While the store is lost, calls ask for
        no wait and end sooner.
        """
        return self._options.wait if self._lost_at is None else timedelta()

    def _note_answer(self) -> None:
        self._failures = 0
        if self._lost_at is None:
            return
        away = self._clock.monotonic() - self._lost_at
        self._lost_at = None
        self._events.record(
            "feed.regained",
            table=self._options.table,
            away_s=round(away.total_seconds(), 3),
        )
        self._regained()

    async def _wait_after(self, error: Exception) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            self._events.record(
                "feed.lost", table=self._options.table, error=repr(error)
            )
        delay = draw_delay(self._random, self._failures, FIRST_RETRY, LONGEST_RETRY)
        self._failures += 1
        await self._sleep(FIRST_RETRY / 2 + delay)
