"""Feeds: follow a table of the platform's store, through outages and lost history."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.budgets import draw_delay
from mustardquay.clocks import Clock
from mustardquay.events import EventRing

from .adapters import FeedPage, HistoryLost, ReadOptions, StoreRow, StoreTables
from .read_races import EndedRead, RaceEvents, ReadRace
from .sleeps import Sleep, sleep as default_sleep

__all__ = ["FeedOptions", "TableFeed"]

FIRST_RETRY = timedelta(milliseconds=100)
LONGEST_RETRY = timedelta(milliseconds=600)
"""The store's return must be seen well within the time in which a configuration has
to be in force; a process then makes some three calls a second while it is away."""


@dataclass(frozen=True, slots=True)
class FeedOptions:
    """How a table is followed."""

    table: str
    wait: timedelta
    """How long the store holds a call that has nothing to tell. A connection that
    went silent is noticed that much later."""
    pace: timedelta = timedelta()
    """Pause between calls, for tables that change all the time."""


@dataclass(frozen=True, slots=True)
class _Found:
    """What a read brought."""

    page: FeedPage
    is_whole: bool
    """Whether these are all rows, not those that have changed."""


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
        self._race: ReadRace[_Found] | None = None

    @property
    def answered_at(self) -> timedelta | None:
        """Return when the store last answered, on the monotonic clock."""
        return self._answered_at

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    def wake(self) -> None:
        """Note that the store has something new, which a silent read would miss."""
        if self._race is not None:
            self._race.note_news()

    async def close(self) -> None:
        """Stop to follow."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                await self._read_once()
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
        observer = RaceEvents(self._note_silence, self._note_ended)
        self._race = ReadRace(self._open_read, self._clock, observer)
        try:
            found = await self._race.run(self._choose_wait())
        finally:
            self._race = None
        self._answered_at = self._clock.monotonic()
        self._note_answer()
        self._take(found.page.rows, found.is_whole)
        self._version = found.page.version

    async def _open_read(self, is_first: bool, options: ReadOptions) -> "_Found":
        """Read what has changed; beside a silent read, all rows.

        All rows hold only the newest value of each, where changes may hold many.
        """
        table = self._options.table
        if is_first and self._version is not None:
            page = await self._store.follow(table, self._version, options)
            return _Found(page, is_whole=False)
        return _Found(await self._store.list_rows(table, options), is_whole=True)

    def _note_silence(self) -> None:
        self._note_lost("The store is silent")

    def _note_ended(self, read: EndedRead) -> None:
        self._events.record(
            "feed.read_ended",
            table=self._options.table,
            reason=read.reason,
            age_ms=round(read.age.total_seconds() * 1000),
            bytes=read.bytes,
        )

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

    def _note_lost(self, error: str) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            self._events.record("feed.lost", table=self._options.table, error=error)

    async def _wait_after(self, error: Exception) -> None:
        self._note_lost(repr(error))
        delay = draw_delay(self._random, self._failures, FIRST_RETRY, LONGEST_RETRY)
        self._failures += 1
        await self._sleep(FIRST_RETRY / 2 + delay)
