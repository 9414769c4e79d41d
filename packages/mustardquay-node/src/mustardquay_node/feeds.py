"""Feeds: follow a table of the platform's store, through outages and lost history."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.budgets import draw_delay
from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.store_eras import StorePosition

from .adapters import FeedPage, HistoryLost, ReadOptions, StoreRow, StoreTables
from .read_races import EndedRead, RaceEvents, ReadRace
from .sleeps import Sleep, sleep as default_sleep

__all__ = ["RETURN_GRACE", "FeedListener", "FeedOptions", "TableFeed"]

FIRST_RETRY = timedelta(milliseconds=100)
LONGEST_RETRY = timedelta(milliseconds=600)
"""The store's return must be seen well within the time in which a configuration has
to be in force; a process then makes some three calls a second while it is away."""


RETURN_GRACE = timedelta(seconds=4)
"""How long rows that a store lacks after it came back from a copy are kept: their
writers write them again within a few heartbeats."""


@dataclass(frozen=True, slots=True)
class FeedOptions:
    """How a table is followed."""

    table: str
    wait: timedelta
    """How long the store holds a call that has nothing to tell. A connection that
    went silent is noticed that much later."""
    pace: timedelta = timedelta()
    """Pause between calls, for tables that change all the time."""


def _ignore() -> None:
    """Take no note."""


@dataclass(frozen=True, slots=True)
class FeedListener:
    """Who takes in what a feed brings."""

    take: Callable[[Sequence[StoreRow], bool], None]
    """Gets rows, and whether they are all there are."""
    regained: Callable[[], None] = _ignore
    """Called before the first rows that follow an outage."""
    returned: Callable[[], None] = _ignore
    """Called before the first rows after the store came back from a copy."""


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
        listener: FeedListener,
        events: EventRing,
        clock: Clock,
        random: Random,
        sleep: Sleep = default_sleep,
    ):
        self._store = store
        self._options = options
        self._listener = listener
        self._events = events
        self._clock = clock
        self._random = random
        self._sleep = sleep
        self._position: StorePosition | None = None
        """From where the next read goes on; None to read all rows."""
        self._known: StorePosition | None = None
        """The position of the rows that were taken last."""
        self._drop_at: timedelta | None = None
        """When rows are dropped that are still missing after a return."""
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

    def note_era(self) -> None:
        """Read all rows now: the store has come back from a copy."""
        self._position = None
        self.wake()

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
                self._position = None
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
        self._take_in(found)

    def _take_in(self, found: _Found) -> None:
        """Take in rows; after a return of the store, nothing is dropped at first.

        Guards against a copy that lacks an upstream that serves, until that one has
        written its row again: it would get no work for seconds.
        """
        position = found.page.position
        if position.follows_restore(self._known):
            if not found.is_whole:
                # Changes after a version that stood for other changes.
                self._position = None
                return
            self._begin_era(position)
        now = self._clock.monotonic()
        is_early = self._drop_at is not None and now < self._drop_at
        is_whole = found.is_whole and not is_early
        if is_whole:
            self._drop_at = None
        self._listener.take(found.page.rows, is_whole)
        self._position = self._known = position

    def _begin_era(self, position: StorePosition) -> None:
        self._drop_at = self._clock.monotonic() + RETURN_GRACE
        self._events.record(
            "feed.read_anew",
            table=self._options.table,
            era=position.era,
            version=position.version,
            before=self._known.version if self._known else 0,
        )
        self._listener.returned()

    async def _open_read(self, is_first: bool, options: ReadOptions) -> "_Found":
        """Read what has changed; beside a silent read, all rows.

        All rows hold only the newest value of each, where changes may hold many.
        """
        table = self._options.table
        position = self._position
        if is_first and position is not None and not self._is_drop_due():
            page = await self._store.follow(table, position.version, options)
            return _Found(page, is_whole=False)
        return _Found(await self._store.list_rows(table, options), is_whole=True)

    def _is_drop_due(self) -> bool:
        return self._drop_at is not None and self._clock.monotonic() >= self._drop_at

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
        if self._lost_at is not None:
            return timedelta()
        if self._drop_at is None:
            return self._options.wait
        left = self._drop_at - self._clock.monotonic()
        return min(self._options.wait, max(left, timedelta()))

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
        self._listener.regained()

    def _note_lost(self, error: str) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            self._events.record("feed.lost", table=self._options.table, error=error)

    async def _wait_after(self, error: Exception) -> None:
        self._note_lost(repr(error))
        delay = draw_delay(self._random, self._failures, FIRST_RETRY, LONGEST_RETRY)
        self._failures += 1
        await self._sleep(FIRST_RETRY / 2 + delay)
