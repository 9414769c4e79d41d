"""Origins of streams: the software version that wrote their first events.

What two versions of an upstream's software write doesn't fit together, and upstreams
don't check it. A stream may go on only at the version that began it, within one answer
and over the attempts of its caller. The attempt that brought the first event names the
stream; callers repeat its id when they take the stream up again.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from xxhash import xxh3_64_intdigest

__all__ = [
    "OriginRecord",
    "OriginTable",
    "StreamOrigin",
    "compute_stream_key",
    "group_by_origin",
]

MAX_RECORDS = 200_000
"""Records kept at most; the oldest are dropped first."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began."""

    service: str
    version: str
    """Version of the upstream's software, not of its weights."""


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """The origin of one stream."""

    key: int
    origin: StreamOrigin
    lifetime: timedelta
    """For how much longer the stream can be taken up."""


@dataclass(slots=True)
class _Record:
    origin: StreamOrigin | None
    """None if streams of different origins have this key."""
    until: timedelta


def compute_stream_key(request: str, organisation: str | None) -> int:
    """Return the 64-bit key of the stream that an attempt of a caller began.

    Ids of attempts are chosen by callers, so those of two organisations may be equal.
    """
    return xxh3_64_intdigest(f"{organisation or ''}\n{request}".encode())


def group_by_origin(
    records: Iterable[OriginRecord],
) -> dict[StreamOrigin, list[OriginRecord]]:
    """Return the records by their origins, of which there are few."""
    groups: defaultdict[StreamOrigin, list[OriginRecord]] = defaultdict(list)
    for record in records:
        groups[record.origin].append(record)
    return groups


class OriginTable:
    """The origins of streams that one process knows, by their keys.

    >>> table, old = OriginTable(), StreamOrigin("app", "1")
    >>> table.note(OriginRecord(7, old, timedelta(seconds=9)), timedelta())
    >>> table.find(7, timedelta()) == old
    True
    >>> table.find(7, timedelta(seconds=10))
    """

    def __init__(self, capacity: int = MAX_RECORDS):
        self._capacity = capacity
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def note(self, record: OriginRecord, now: timedelta) -> None:
        """Add a record, or extend the known one.

        A key that names streams of different origins names none of them any more.
        """
        until = now + record.lifetime
        known = self._records.get(record.key)
        if known is None or known.until <= now:
            self._records[record.key] = _Record(record.origin, until)
            self._records.move_to_end(record.key)
            if len(self._records) > self._capacity:
                self._records.popitem(last=False)
            return
        if known.origin != record.origin:
            known.origin = None
        known.until = max(known.until, until)

    def find(self, key: int, now: timedelta) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        known = self._records.get(key)
        return None if known is None or known.until <= now else known.origin

    def is_ambiguous(self, key: int, now: timedelta) -> bool:
        """Return whether streams of different origins have this key."""
        known = self._records.get(key)
        return known is not None and known.until > now and known.origin is None

    def export(self, key: int, now: timedelta) -> OriginRecord | None:
        """Return the record of a stream, None if its origin is not known."""
        origin = self.find(key, now)
        if origin is None:
            return None
        return OriginRecord(key, origin, self._records[key].until - now)

    def list_records(self, now: timedelta) -> Iterator[OriginRecord]:
        """Yield the records that hold, without ambiguous ones."""
        for key, known in self._records.items():
            if known.origin is not None and known.until > now:
                yield OriginRecord(key, known.origin, known.until - now)

    def expire(self, now: timedelta) -> None:
        """Drop the records of streams that can't be taken up any more."""
        expired = [key for key, known in self._records.items() if known.until <= now]
        for key in expired:
            del self._records[key]
