"""Updates of the list of upstreams from rows of the store."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing
from mustardquay.list_readers import ListRow, RowVersions, is_older_record
from mustardquay.store_eras import StorePosition
from mustardquay.upstream_lists import ListSource, UpstreamList, UpstreamRecord

from .adapters import Adapter, StoreRow
from .feeds import RESTORE_GRACE

__all__ = ["UpstreamListUpdater"]

MAX_REMOVED = 1_000
"""Removed upstreams whose last records are kept."""
MAX_UNREADABLE = 100
"""Rows that can't be read and whose values are kept, so that each is logged once."""


class UpstreamListUpdater:
    """Keeps the list of upstreams in step with the rows of the store."""

    def __init__(
        self,
        adapter: Adapter,
        upstreams: UpstreamList,
        events: EventRing,
        clock: Clock,
        forget: Callable[[str], None],
        note_draining: Callable[[UpstreamRecord], None],
    ):
        """Initialise the updater of `upstreams`.

        `forget` is called for each upstream that was removed or restarted,
        `note_draining` for each one that starts to drain, or is removed without that.
        """
        self._adapter = adapter
        self._upstreams = upstreams
        self._events = events
        self._clock = clock
        self._forget = forget
        self._note_draining = note_draining
        self._removed: OrderedDict[str, UpstreamRecord] = OrderedDict()
        """The last records of removed upstreams, oldest first."""
        self._unreadable: OrderedDict[str, bytes] = OrderedDict()
        """Values of rows that can't be read, by key, oldest first."""
        self._restore_grace_until = timedelta()
        self._reported = RowVersions()
        """Versions of the rows that other gateways have reported."""

    @property
    def unreadable(self) -> int:
        """Return how many rows of the list can't be read."""
        return len(self._unreadable)

    def begin_restore(self) -> None:
        """Note that the store was restored from a copy, so that records may be old.

        Guards against a copy made before an upstream started to drain: because of its
        old record it would get new work until it writes its next one. Guards also
        against a record of an earlier start, which may name another software version.
        """
        self._restore_grace_until = self._clock.monotonic() + RESTORE_GRACE

    def end_outage(self, duration: timedelta) -> timedelta | None:
        """Note that the store is back after an outage of some duration.

        Returns the end of the grace period that starts, None without one.
        """
        return self._upstreams.end_outage(duration, self._clock.monotonic())

    def extend_grace(self, left: timedelta) -> None:
        """Make the grace period of upstreams as long as that of list readers."""
        self._upstreams.extend_grace(self._clock.monotonic() + left)

    def apply_rows(
        self,
        rows: Sequence[StoreRow],
        is_whole: bool,
        position: StorePosition | None = None,
    ) -> None:
        """Apply rows of the store: with `is_whole` all of them, else changed ones.

        Where list readers are another source, `position` is that of the read, and rows
        that are older than what they have reported are left out.
        """
        now = self._clock.monotonic()
        at = position or StorePosition(0, 0)
        kept = self._reported.find_newer(at.era, at.version) if is_whole else set()
        records = []
        for row in rows:
            if self._reported.is_older(row.key, at.era, row.version) and (
                not is_whole or row.key in kept
            ):
                continue
            record = self._apply_row(row, now, is_shared=position is not None)
            if record is not None:
                records.append(record)
        if is_whole:
            for record in self._upstreams.replace(records, now, kept):
                self._note_removed(record)
        self.expire()
        self._upstreams.note_confirmed(ListSource.STORE, now)

    def apply_reported(self, rows: Sequence[ListRow], era: int) -> None:
        """Apply changed rows that a list reader has reported."""
        now = self._clock.monotonic()
        for row in rows:
            if self._reported.note(row.key, era, row.version, now):
                applied = StoreRow(row.key, row.value, row.version, row.deleted)
                self._apply_row(applied, now, is_shared=True)
        self.expire()

    def note_confirmed(self, at: timedelta) -> None:
        """Note that list readers have confirmed the list as it was at a time."""
        self._upstreams.note_confirmed(ListSource.PEER, at)

    def list_records(self, position: StorePosition) -> dict[str, UpstreamRecord | None]:
        """Return the records at a position; None for one that may be newer."""
        newer = self._reported.find_newer(position.era, position.version)
        records: dict[str, UpstreamRecord | None] = dict.fromkeys(newer)
        for record in self._upstreams:
            if record.id not in newer:
                records[record.id] = record
        return records

    def expire(self) -> None:
        """Remove the upstreams that did not return after an outage of the store."""
        for record in self._upstreams.expire(self._clock.monotonic()):
            self._note_removed(record)

    def _apply_row(
        self, row: StoreRow, now: timedelta, is_shared: bool
    ) -> UpstreamRecord | None:
        """Apply a row; return the record that is listed for it, if any.

        With several sources (`is_shared`), an earlier record of the same incarnation is
        left out.
        """
        if row.deleted:
            self._unreadable.pop(row.key, None)
            self._drop(row.key, now)
            return None
        record = self._read(row)
        if record is None or self._is_stale(record, now):
            return None
        known = self._upstreams.get(record.id)
        if is_shared and is_older_record(record, known):
            return known
        self._put(record)
        return record

    def _is_stale(self, record: UpstreamRecord, now: timedelta) -> bool:
        """Return whether a record of a restored store is older than the known one."""
        if now >= self._restore_grace_until:
            return False
        listed = self._upstreams.get(record.id)
        known = listed or self._removed.get(record.id)
        if known is None:
            return False
        if record.started_ms != known.started_ms:
            return record.started_ms < known.started_ms
        if record.sequence != known.sequence:
            return record.sequence < known.sequence
        # With equal sequence numbers, state learned from other sources is newer.
        return listed is None or (listed.draining and not record.draining)

    def _read(self, row: StoreRow) -> UpstreamRecord | None:
        try:
            record = self._adapter.read_upstream(row.key, row.value)
        except ProtocolError as error:
            self._note_unreadable(row, error)
            return None
        self._unreadable.pop(row.key, None)
        return record

    def _note_unreadable(self, row: StoreRow, error: ProtocolError) -> None:
        """Log a row that can't be read, once for each value of it."""
        if self._unreadable.get(row.key) == row.value:
            return
        self._unreadable[row.key] = row.value
        self._unreadable.move_to_end(row.key)
        if len(self._unreadable) > MAX_UNREADABLE:
            self._unreadable.popitem(last=False)
        self._events.record("upstream.refused", upstream=row.key[:80], error=str(error))

    def _put(self, record: UpstreamRecord) -> None:
        before = self._upstreams.put(record)
        if before is None:
            self._log("upstream.listed", record)
        elif before.address != record.address or before.started_ms < record.started_ms:
            self._log("upstream.restarted", record)
            self._forget(record.id)
        elif (before.draining, before.stage) != (record.draining, record.stage):
            self._log("upstream.changed", record)
            if record.draining:
                self._note_draining(record)

    def _drop(self, id: str, now: timedelta) -> None:
        record = self._upstreams.get(id)
        if record is not None and self._upstreams.remove(id, now):
            self._note_removed(record)
            if not record.draining:
                self._note_draining(record)

    def _note_removed(self, record: UpstreamRecord) -> None:
        self._removed[record.id] = record
        self._removed.move_to_end(record.id)
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        self._events.record("upstream.gone", upstream=record.id)
        self._forget(record.id)

    def _log(self, kind: str, record: UpstreamRecord) -> None:
        self._events.record(
            kind,
            upstream=record.id,
            service=record.service,
            draining=record.draining,
            stage=record.stage.value,
        )
