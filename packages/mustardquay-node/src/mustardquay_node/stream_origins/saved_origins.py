"""Origins of running streams, saved in the platform's store while versions are mixed.

Guards against the kill of all gateways at the same moment, after which none knows where
streams began. While one version serves, that follows from its mark, and nothing is
saved. Otherwise each gateway writes one row as streams begin, some twenty times a
second at most in a fleet of three, and more seldom in a large one.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Any

import orjson

from mustardquay.borders import or_none
from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.streams import OriginRecord, StreamOrigin, group_by_origin
from mustardquay.tables import Transaction, Write

from ..adapters import ReadOptions, StoreRow, StoreTables
from ..loops import cancel_task, start_loop
from .shared_reads import SharedRead

__all__ = ["SAVED_TABLE", "SavedOriginDependencies", "SavedOrigins"]

SAVED_TABLE = "stream_origins"
"""Table with one row for each gateway."""
CHECK_INTERVAL = timedelta(milliseconds=50)
"""Minimum time between two checks whether streams have begun that are not saved."""
CHECK_SHARE = 0.1
"""The same in a large fleet, as a part of the time between two writes."""
SAVE_INTERVAL_OF_EACH = timedelta(milliseconds=10)
"""Minimum time between two writes of a gateway, for each gateway of the fleet: all make
100 writes a second at most, a quarter of what the store takes."""
MAX_SAVED = 2_000
"""Streams in one row, which stays below the store's limit of 64 KiB."""
READ_INTERVAL = timedelta(milliseconds=500)
"""Minimum time between two reads of all rows."""
READ_TIMEOUT = timedelta(milliseconds=600)
"""Time for which a request may wait for such a read."""


@dataclass(frozen=True, slots=True)
class SavedOriginDependencies:
    """Dependencies of `SavedOrigins`."""

    name: str
    """Name of this gateway."""
    store: StoreTables
    clock: Clock
    random: Random
    events: EventRing
    count_gateways: Callable[[], int]
    is_mixed: Callable[[], bool]
    """Returns whether streams may have begun at several versions of a service."""
    list_running: Callable[[], list[OriginRecord]]
    """Lists the streams that run at this gateway."""
    is_ambiguous: Callable[[int], bool]
    """Returns whether streams of different origins have a key."""
    note: Callable[[Iterable[OriginRecord]], None]
    """Notes origins that were read."""


class SavedOrigins:
    """Saves the origins of this gateway's streams, and reads those of all gateways."""

    def __init__(self, deps: SavedOriginDependencies):
        self._deps = deps
        self._saved: frozenset[int] = frozenset()
        self._due: timedelta | None = None
        """When the next write is due; None while one version serves."""
        self._inherited: list[tuple[timedelta, OriginRecord]] | None = None
        """Origins that an earlier process of this gateway saved, with their ends."""
        self._read = SharedRead(
            deps.clock, self._read_all, READ_INTERVAL, READ_TIMEOUT, self._note_unread
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to save origins."""
        self._task = start_loop(self._check, CHECK_INTERVAL, self._deps.random)

    async def close(self) -> None:
        """Stop; the row stays, as streams that break off now are taken up elsewhere."""
        await cancel_task(self._task)

    async def read(self) -> None:
        """Read what all gateways have saved; does nothing if the store is away."""
        await self._read.run()

    def _note_unread(self, error: str) -> None:
        self._deps.events.record("origins.unread", error=error)

    async def _read_all(self) -> None:
        page = await self._deps.store.list_rows(SAVED_TABLE, ReadOptions())
        for row in page.rows:
            self._deps.note(self._decode(row))

    async def _check(self) -> None:
        interval = SAVE_INTERVAL_OF_EACH * self._deps.count_gateways()
        if self._deps.is_mixed():
            await self._save(interval)
        else:
            self._due = None
        await asyncio.sleep((interval * CHECK_SHARE).total_seconds())

    async def _save(self, interval: timedelta) -> None:
        now = self._deps.clock.monotonic()
        if self._due is None:
            # All gateways learn of another version at the same time.
            self._due = now + interval * self._deps.random.random()
        if now < self._due:
            return
        try:
            if self._inherited is None:
                self._due = now + interval
                await self._inherit()
            records = self._list_unsaved(now)
            if records is not None:
                self._due = now + interval
                await self._write(records)
        except MustardquayError as error:
            self._deps.events.record("origins.unsaved", error=str(error))

    async def _inherit(self) -> None:
        """Go on with the row of an earlier process, whose streams may be taken up."""
        row = await self._deps.store.read(SAVED_TABLE, self._deps.name)
        value = None if row is None else row.value
        records = self._decode_value(value) or []
        now = self._deps.clock.monotonic()
        self._deps.note(records)
        self._inherited = [(now + record.lifetime, record) for record in records]

    def _list_unsaved(self, now: timedelta) -> list[OriginRecord] | None:
        """Return what a row is to hold; None if it names all streams already.

        A key that names two streams by now must not stay in it.
        """
        running = self._deps.list_running()
        is_known = self._saved.issuperset(record.key for record in running)
        if is_known and not any(map(self._deps.is_ambiguous, self._saved)):
            return None
        inherited = [
            OriginRecord(record.key, record.origin, until - now)
            for until, record in self._inherited or ()
            if until > now and not self._deps.is_ambiguous(record.key)
        ]
        return [*running, *inherited][:MAX_SAVED]

    async def _write(self, records: Sequence[OriginRecord]) -> None:
        value = _encode(records, self._deps.clock.now())
        write = Write(SAVED_TABLE, self._deps.name, value)
        await self._deps.store.transact(Transaction(writes=(write,)))
        self._saved = frozenset(record.key for record in records)

    def _decode(self, row: StoreRow) -> list[OriginRecord]:
        value = or_none(orjson.loads)(row.value)
        return self._decode_value(value) or []

    @or_none
    def _decode_value(self, value: Any) -> list[OriginRecord] | None:
        """Return the origins in a row; None if it can't be decoded."""
        at = datetime.fromtimestamp(value["at"] / 1000, self._deps.clock.now().tzinfo)
        age = self._deps.clock.now() - at
        return list(_decode_origins(value["origins"], max(age, timedelta())))


def _encode(records: Sequence[OriginRecord], now: datetime) -> Mapping[str, Any]:
    origins = [
        {
            "service": origin.service,
            "version": origin.version,
            "keys": [f"{record.key:016x}" for record in group],
            "seconds": [int(record.lifetime.total_seconds()) for record in group],
        }
        for origin, group in group_by_origin(records).items()
    ]
    return {"at": int(now.timestamp() * 1000), "origins": origins}


def _decode_origins(
    origins: Sequence[Mapping[str, Any]], age: timedelta
) -> Iterable[OriginRecord]:
    for each in origins:
        origin = StreamOrigin(str(each["service"]), str(each["version"]))
        for key, seconds in zip(each["keys"], each["seconds"], strict=True):
            lifetime = timedelta(seconds=seconds) - age
            if lifetime > timedelta():
                yield OriginRecord(int(key, 16), origin, lifetime)
