"""Relay of the list of upstreams: reads it from the store, or follows list readers.

Each gateway has one. Which of both it does, and what it believes, is decided in
`mustardquay.list_readers`; this module owns the feed, the timer and the datagrams.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing
from mustardquay.list_readers import (
    ArrivalDelays,
    ChangeWindow,
    ListFollower,
    ListNotice,
    ListRead,
    ListRow,
    ListTimings,
    NoticeUse,
    OutageReports,
    ReadDecider,
    ReaderSelection,
    ReadReason,
    ReadRow,
)
from mustardquay.upstream_lists import UpstreamRecord

from ..adapters import StoreRow
from ..feeds import FeedListener, FeedRead, TableFeed
from ..loops import cancel_task, start_loop
from ..peers import Address
from ..upstream_list_updaters import UpstreamListUpdater
from .frames import decode_notice, encode_notice

__all__ = ["ListRelay", "RelayDependencies"]

BATCH = 50
"""Datagrams that are sent in one turn of the event loop; a notice to hundreds of
gateways would hold it for a millisecond."""


@dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Dependencies of a `ListRelay`."""

    name: str
    """Name of this gateway."""
    readers: int
    """Number of list readers of the fleet."""
    timings: ListTimings
    pause: timedelta
    """Pause between two reads of a gateway that reads for itself only."""
    clock: Clock
    random: Random
    events: EventRing
    updater: UpstreamListUpdater
    make_feed: Callable[[FeedListener], TableFeed]
    read_upstream: Callable[[str, bytes], UpstreamRecord]
    send: Callable[[bytes, Iterable[str]], None]
    """Sends a datagram to some gateways."""
    list_zones: Callable[[], Mapping[str, str]]
    """Lists the availability zone of each listed gateway, this one included."""
    find_heard_at: Callable[[], timedelta | None]
    """Returns when the last datagram of another gateway arrived."""


class ListRelay:
    """Keeps the list of upstreams up to date, by own reads or by list readers."""

    def __init__(self, deps: RelayDependencies):
        self._deps = deps
        self._feed = deps.make_feed(self._make_listener())
        self._selection = ReaderSelection(deps.name, deps.readers, deps.timings)
        self._follower = ListFollower()
        self._decider = ReadDecider(
            self._selection, self._follower, deps.timings, deps.random
        )
        self._window = ChangeWindow(deps.timings.window)
        self._outages = OutageReports(deps.timings.failure_limit)
        self._delays = ArrivalDelays(deps.timings.tick, deps.timings.confirm_interval)
        self._reason = ReadReason.ALL
        self._reason_since = timedelta()
        self._grace_until = timedelta()
        self._number = 0
        self._sent_at: timedelta | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def answered_at(self) -> timedelta | None:
        """Return when the store last answered this gateway's reads of the list."""
        return self._feed.answered_at

    @property
    def is_reading(self) -> bool:
        """Return whether this gateway reads the list from the store."""
        return self._reason is not ReadReason.NONE

    @property
    def is_reader(self) -> bool:
        """Return whether this gateway reads the list for others."""
        return self._reason is ReadReason.READER

    @property
    def age(self) -> timedelta | None:
        """Return the age of the newest state of the store that the list includes."""
        at = self._follower.confirmed_at
        return None if at is None else self._now - at

    def count_confirmers(self) -> int:
        """Return how many list readers confirm the list of this gateway."""
        return self._decider.count_confirmers(self._now)

    def start(self) -> None:
        """Start to read the list; list readers are known later."""
        self._reason_since = self._now
        self._delays.note_tick(self._now)
        self._feed.start()
        self._task = start_loop(self._tick, self._deps.timings.tick)

    async def close(self) -> None:
        """Stop reading and sending notices."""
        await cancel_task(self._task)
        await self._feed.close()

    def note_era(self) -> None:
        """Read the list from the store: it was restored from a copy."""
        self._feed.note_era()
        self._decider.note_newer_era(self._now)

    def receive(self, data: bytes, address: Address) -> None:
        """Process a datagram of another gateway."""
        notice = decode_notice(data)
        if notice is None:
            self._deps.events.record("list.unreadable", address=str(address))
        elif notice.sender != self._deps.name:
            self._take(notice)

    def _take(self, notice: ListNotice) -> None:
        now = self._now
        if not self._selection.knows(notice.sender):
            return
        at = now - notice.age - self._delays.measure(now)
        self._outages.note(notice, now)
        self._selection.note_confirmed(notice.sender, at, now)
        use, rows = self._follower.take(notice, at)
        if use is NoticeUse.IGNORED:
            return
        if use is NoticeUse.NEWER_ERA:
            self._decider.note_newer_era(now)
            return
        self._apply(rows, notice.era, now)
        if use is NoticeUse.CONFIRMS:
            self._decider.note_confirmed(notice.sender, at)
            self._deps.updater.note_confirmed(at)

    def _apply(self, rows: Iterable[ListRow], era: int, now: timedelta) -> None:
        """Apply reported rows, with the grace period of the readers before them."""
        grace = self._outages.find_grace(now)
        if grace:
            self._deps.updater.extend_grace(grace)
        self._deps.updater.apply_reported(tuple(rows), era)

    def _tick(self) -> None:
        now = self._now
        self._delays.note_tick(now)
        self._selection.set_gateways(self._deps.list_zones())
        if self._selection.update(now, self._is_connected(now)):
            self._log_selection()
        reason = self._decider.decide(now, self._feed.is_restoring)
        if reason is not self._reason:
            self._change_reason(reason, now)
        if reason is ReadReason.READER and self._is_notice_due(now):
            self._send_notice()

    def _change_reason(self, reason: ReadReason, now: timedelta) -> None:
        before, self._reason = self._reason, reason
        self._log_reason(before, now)
        pause = self._deps.pause
        if reason is ReadReason.READER:
            pause = self._deps.timings.reader_pause
        if reason is ReadReason.NONE:
            self._feed.stop()
        elif before is ReadReason.NONE:
            self._begin_to_read(pause, now)
        else:
            self._feed.set_pause(pause)

    def _begin_to_read(self, pause: timedelta, now: timedelta) -> None:
        position = self._follower.position
        if position is not None:
            records = self._deps.updater.list_records(position)
            self._window.begin(position, records)
        self._feed.resume(position, pause, self._outages.is_away(now))

    def _note_read(self, read: FeedRead) -> None:
        page = read.page
        rows = tuple(self._decode(row) for row in page.rows)
        at = read.confirmed_at
        noted = ListRead(read.before, page.position, rows, read.is_whole, at)
        self._follower.note_read(noted)
        self._decider.note_read(at)
        self._window.note_read(noted)
        if self._reason is ReadReason.READER:
            self._send_notice()

    def _decode(self, row: StoreRow) -> ReadRow:
        reported = ListRow(row.key, row.value, row.version, row.deleted)
        if row.deleted:
            return ReadRow(reported, None)
        try:
            return ReadRow(reported, self._deps.read_upstream(row.key, row.value))
        except ProtocolError:
            # The updater has logged it.
            return ReadRow(reported, None)

    def _send_notice(self) -> None:
        now = self._now
        content = self._window.build(now)
        if content is None:
            return
        self._number += 1
        self._sent_at = now
        notice = ListNotice(
            self._deps.name,
            self._number,
            content.position.era,
            content.base.version,
            content.position.version,
            now - content.read_at,
            content.rows,
            grace=max(self._grace_until - now, timedelta()),
            is_away=self._feed.is_lost,
        )
        names = [name for name in self._deps.list_zones() if name != self._deps.name]
        self._send_batches(
            deque(
                (datagram, names[start : start + BATCH])
                for datagram in encode_notice(notice)
                for start in range(0, len(names), BATCH)
            )
        )

    def _send_batches(self, batches: deque[tuple[bytes, list[str]]]) -> None:
        """Send one batch, and the others in later turns of the event loop."""
        if batches:
            self._deps.send(*batches.popleft())
            asyncio.get_running_loop().call_soon(self._send_batches, batches)

    def _is_notice_due(self, now: timedelta) -> bool:
        interval = self._deps.timings.confirm_interval
        return self._sent_at is None or now - self._sent_at >= interval

    def _is_connected(self, now: timedelta) -> bool:
        heard_at = self._deps.find_heard_at()
        limit = self._deps.timings.failure_limit
        return heard_at is not None and now - heard_at <= limit

    def _make_listener(self) -> FeedListener:
        updater = self._deps.updater
        return FeedListener(
            lambda rows, is_whole: updater.apply_rows(
                rows, is_whole, self._feed.position
            ),
            self._end_outage,
            updater.begin_restore,
            self._note_read,
        )

    def _end_outage(self, duration: timedelta) -> None:
        grace_until = self._deps.updater.end_outage(duration)
        if grace_until is not None:
            self._grace_until = grace_until

    def _log_selection(self) -> None:
        self._deps.events.record(
            "list.readers",
            readers=",".join(self._selection.selected),
            passed_over=",".join(self._selection.failed),
        )

    def _log_reason(self, before: ReadReason, now: timedelta) -> None:
        position = self._follower.position
        age = self.age
        self._deps.events.record(
            "list.reading" if self.is_reading else "list.following",
            reason=self._reason.value,
            before=before.value,
            before_s=round((now - self._reason_since).total_seconds(), 3),
            confirmers=self._decider.count_confirmers(now),
            age_ms=-1 if age is None else round(age.total_seconds() * 1000),
            era=position.era if position else 0,
            version=position.version if position else 0,
        )
        self._reason_since = now

    @property
    def _now(self) -> timedelta:
        return self._deps.clock.monotonic()
