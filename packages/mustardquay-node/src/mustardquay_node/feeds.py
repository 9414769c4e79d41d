"""Feeds: follow a table of the platform's store, across outages and lost history."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.budgets import draw_delay
from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.store_eras import StorePosition

from .adapters import FeedPage, HistoryLost, ReadOptions, StoreRow, StoreTables
from .hedged_reads import HEDGE_DELAY, DiscardedRead, HedgeCallbacks, HedgedRead
from .loops import cancel_task
from .sleeps import Sleep, sleep as default_sleep

__all__ = ["RESTORE_GRACE", "FeedListener", "FeedOptions", "FeedRead", "TableFeed"]

FIRST_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(milliseconds=600)
"""A feed must reconnect well within the time in which a configuration has to be in
force. With these delays, a process makes some three calls a second during an outage."""


RESTORE_GRACE = timedelta(seconds=4)
"""How long rows are kept that the store lacks after it was restored from a copy: their
writers write them again within a few heartbeats."""


@dataclass(frozen=True, slots=True)
class FeedOptions:
    """Options for following a table."""

    table: str
    wait: timedelta
    """How long the store holds a call without changes (long polling). A silent
    connection is detected that much later."""
    pause: timedelta = timedelta()
    """Pause between calls, for tables that change continually."""
    hedge_delay: timedelta = HEDGE_DELAY
    """Silence of a read, beyond `wait`, after which another one is started."""


def _do_nothing(*_: object) -> None:
    """Do nothing; the default callback."""


@dataclass(frozen=True, slots=True)
class FeedRead:
    """A read whose rows were applied."""

    before: StorePosition | None
    """The position that was applied before, None at first."""
    page: FeedPage
    is_whole: bool
    """Whether these are all rows that the store has."""
    confirmed_at: timedelta
    """The store had this state then or later."""


@dataclass(frozen=True, slots=True)
class FeedListener:
    """Callbacks of a feed."""

    on_rows: Callable[[Sequence[StoreRow], bool], Awaitable[None] | None]
    """Called with rows, and whether they are all rows of the table. The next read
    begins once it has ended."""
    on_reconnected: Callable[[timedelta], object] = _do_nothing
    """Called before the first rows after an outage, with the time without an answer."""
    on_restored: Callable[[], None] = _do_nothing
    """Called before the first rows after the store was restored from a copy."""
    on_read: Callable[[FeedRead], None] = _do_nothing
    """Called after the rows of a read were applied."""


@dataclass(frozen=True, slots=True)
class _ReadResult:
    """Result of a read."""

    page: FeedPage
    is_whole: bool
    """Whether these are all rows of the table, not only those that changed."""
    confirmed_at: timedelta
    """The store had this state then or later."""


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
        self._pause = options.pause
        self._position: StorePosition | None = None
        """Where the next read continues; None to read all rows."""
        self._applied_position: StorePosition | None = None
        """The position of the rows that were applied last."""
        self._grace_until: timedelta | None = None
        """When rows that a restored store still lacks are dropped."""
        self._failures = 0
        self._lost_at: timedelta | None = None
        self._answered_at: timedelta | None = None
        self._resumed_at: timedelta | None = None
        """When reading was resumed; None if other gateways report an outage."""
        self._task: asyncio.Task[None] | None = None
        self._hedged_read: HedgedRead[_ReadResult] | None = None

    @property
    def answered_at(self) -> timedelta | None:
        """Return when the store last answered, on the monotonic clock."""
        return self._answered_at

    @property
    def position(self) -> StorePosition | None:
        """Return the position of the newest rows, None before the first read."""
        return self._position

    @property
    def is_lost(self) -> bool:
        """Return whether the store doesn't answer."""
        return self._lost_at is not None

    @property
    def is_restoring(self) -> bool:
        """Return whether rows are kept that a restored store lacks."""
        return self._grace_until is not None

    def start(self) -> None:
        """Start to follow the table."""
        self._task = asyncio.create_task(self._run())

    def resume(
        self, position: StorePosition | None, pause: timedelta, is_after_outage: bool
    ) -> None:
        """Start after a stop; the list is complete up to a position by other sources.

        With `is_after_outage`, the first answer counts as the first after an outage.
        """
        self._pause = pause
        if position is not None:
            is_current = position.era >= self._store.era
            self._position = position if is_current else None
            self._applied_position = position
        self._resumed_at = None if is_after_outage else self._clock.monotonic()
        if is_after_outage:
            self._note_lost("List readers report an outage")
        self.start()

    def stop(self) -> None:
        """Stop following the table until it is resumed."""
        if self._task is not None:
            self._task.cancel()
        self._task = None
        self._failures = 0
        self._lost_at = None

    def set_pause(self, pause: timedelta) -> None:
        """Set the pause between calls."""
        self._pause = pause

    def wake(self) -> None:
        """Note that the store has a change that a read on a dead connection misses."""
        if self._hedged_read is not None:
            self._hedged_read.note_change()

    def note_era(self) -> None:
        """Read all rows now, as the store was restored from a copy."""
        self._position = None
        self.wake()

    async def close(self) -> None:
        """Stop following the table."""
        await cancel_task(self._task)

    async def _run(self) -> None:
        while True:
            try:
                await self._read_once()
            except HistoryLost:
                self._events.record("feed.history_lost", table=self._options.table)
                self._position = None
            except Exception as error:
                # The feed must survive any error: without it, the process would use an
                # outdated list until its restart.
                await self._wait_to_retry(error)
            else:
                await self._sleep(self._pause)

    async def _read_once(self) -> None:
        observer = HedgeCallbacks(self._note_silence, self._log_discarded_read)
        self._hedged_read = HedgedRead(
            self._open_read, self._clock, observer, self._options.hedge_delay
        )
        try:
            found = await self._hedged_read.run(self._choose_wait())
        finally:
            self._hedged_read = None
        self._note_answer()
        self._answered_at = self._clock.monotonic()
        await self._apply(found)

    async def _apply(self, found: _ReadResult) -> None:
        """Apply rows; for some time after a restore of the store, none are dropped.

        Guards against a copy that lacks the row of a serving upstream: the upstream
        would get no requests for seconds, until it has written its row again.
        """
        position = found.page.position
        if position.follows_restore(self._applied_position):
            if not found.is_whole:
                # Changes since a version that meant other changes before the restore.
                self._position = None
                return
            self._begin_era(position)
        now = self._clock.monotonic()
        is_early = self._grace_until is not None and now < self._grace_until
        is_whole = found.is_whole and not is_early
        if is_whole:
            self._grace_until = None
        # A restore that is noted while rows are applied replaces this position.
        self._position = position
        try:
            await self._pass_on(found.page.rows, is_whole)
        except Exception:
            self._position = None
            raise
        before, self._applied_position = self._applied_position, position
        read = FeedRead(before, found.page, found.is_whole, found.confirmed_at)
        self._listener.on_read(read)

    async def _pass_on(self, rows: Sequence[StoreRow], is_whole: bool) -> None:
        ended = self._listener.on_rows(rows, is_whole)
        if ended is not None:
            await ended

    def _begin_era(self, position: StorePosition) -> None:
        self._grace_until = self._clock.monotonic() + RESTORE_GRACE
        self._events.record(
            "feed.read_anew",
            table=self._options.table,
            era=position.era,
            version=position.version,
            before=self._applied_position.version if self._applied_position else 0,
        )
        self._listener.on_restored()

    async def _open_read(self, is_first: bool, options: ReadOptions) -> "_ReadResult":
        """Read the changes; a hedge beside a silent read gets all rows.

        The table has only the newest value of each row, changes may have many.
        """
        table = self._options.table
        position = self._position
        begun_at = self._clock.monotonic()
        if is_first and position is not None and not self._is_grace_over():
            page = await self._store.follow(table, position.version, options)
            return _ReadResult(
                page, False, self._find_confirmed(begun_at, page, options)
            )
        page = await self._store.list_rows(table, options)
        return _ReadResult(page, True, begun_at)

    def _find_confirmed(
        self, begun_at: timedelta, page: FeedPage, options: ReadOptions
    ) -> timedelta:
        """Return a time at which the store had the state of a page, or a newer one.

        A call without a change is answered once the store has held it, so that the
        state is as young as the end of that time.
        """
        was_held = self._clock.monotonic() - begun_at >= options.wait
        return begun_at + options.wait if was_held and not page.rows else begun_at

    def _is_grace_over(self) -> bool:
        return (
            self._grace_until is not None
            and self._clock.monotonic() >= self._grace_until
        )

    def _note_silence(self) -> None:
        self._note_lost("The store is silent")

    def _log_discarded_read(self, read: DiscardedRead) -> None:
        self._events.record(
            "feed.read_ended",
            table=self._options.table,
            reason=read.reason,
            age_ms=round(read.age.total_seconds() * 1000),
            bytes=read.bytes,
        )

    def _choose_wait(self) -> timedelta:
        """Return how long the store may hold the next call.

        During an outage, calls ask for no wait. Otherwise a call sent just before a
        silent store recovers would get no answer and end only after its wait, so that
        changes made since the recovery would be seen seconds late.
        """
        if self._lost_at is not None:
            return timedelta()
        if self._grace_until is None:
            return self._options.wait
        left = self._grace_until - self._clock.monotonic()
        return min(self._options.wait, max(left, timedelta()))

    def _note_answer(self) -> None:
        self._failures = 0
        if self._lost_at is None:
            return
        now = self._clock.monotonic()
        away = now - self._lost_at
        unanswered = now - self._find_reading_since()
        self._lost_at = None
        self._events.record(
            "feed.regained",
            table=self._options.table,
            away_s=round(away.total_seconds(), 3),
            unanswered_s=round(unanswered.total_seconds(), 3),
        )
        self._listener.on_reconnected(unanswered)

    def _find_reading_since(self) -> timedelta:
        """Return when the store last answered, or since when it has been asked."""
        assert self._lost_at is not None
        answered = self._answered_at or self._lost_at
        return answered if self._resumed_at is None else max(answered, self._resumed_at)

    def _note_lost(self, error: str) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            self._events.record("feed.lost", table=self._options.table, error=error)

    async def _wait_to_retry(self, error: Exception) -> None:
        self._note_lost(repr(error))
        delay = draw_delay(
            self._random, self._failures, FIRST_RETRY_DELAY, MAX_RETRY_DELAY
        )
        self._failures += 1
        await self._sleep(FIRST_RETRY_DELAY / 2 + delay)
