"""Upstream lists: which upstreams take work, from records that upstreams keep alive.

Each upstream keeps a record of itself in the platform's store; the store removes
records that are not renewed. A record may also vanish because the upstream could not
renew it while the store was out of service, although it serves.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = ["RETURN_GRACE", "Stage", "UpstreamList", "UpstreamRecord"]

RETURN_GRACE = timedelta(seconds=2.2)
"""How long records may be missing after the store is back. The platform says that
live upstreams renew theirs within about 2 s; the rest is for one poll."""


class Stage(StrEnum):
    """What a model engine does; plain upstreams have none."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What an upstream says of itself in the store."""

    id: str
    """New at most starts of the upstream; an upstream refuses work for another id."""
    service: str
    address: str
    """IP number and port."""
    availability_zone: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE
    versions: tuple[tuple[str, int], ...] = ()
    """Models with the version of their weights."""
    cold_for: timedelta = timedelta()
    """How much longer the upstream is slow after its start, as of this record."""
    started_ms: int = 0
    """Start of this incarnation in Unix milliseconds; 0 when it is not told."""
    sequence: int = 0
    """Rises with each record that an incarnation writes; 0 when it is not told."""


@dataclass(slots=True)
class _Listed:
    record: UpstreamRecord
    missing_since: timedelta | None = None


class UpstreamList:
    """The records as they were last read, with a grace after an outage.

    Guards against an outage of the store that takes live upstreams' records with it:
    it shows as all upstreams of a service vanishing at once when the store returns.
    Records that were known before the outage are kept for `RETURN_GRACE` after the
    first answer, in which live upstreams write theirs again.
    """

    def __init__(self) -> None:
        self._listed: dict[str, _Listed] = {}
        self._grace_until: timedelta | None = None
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Return whether the list was ever read."""
        return self._is_known

    def __iter__(self) -> Iterator[UpstreamRecord]:
        """Yield the upstreams that may get work or still finish some."""
        return (listed.record for listed in self._listed.values())

    def get(self, id: str) -> UpstreamRecord | None:
        """Return the record of an upstream."""
        listed = self._listed.get(id)
        return listed.record if listed else None

    def list_usable(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that take new work."""
        return [
            listed.record
            for listed in self._listed.values()
            if listed.record.service == service and not listed.record.draining
        ]

    def begin_grace(self, now: timedelta) -> None:
        """Note that the store answers again after an outage."""
        self._grace_until = now + RETURN_GRACE

    def put(self, record: UpstreamRecord) -> UpstreamRecord | None:
        """Take in a record; returns the one that it replaces."""
        before = self._listed.get(record.id)
        self._listed[record.id] = _Listed(record)
        self._is_known = True
        return before.record if before else None

    def remove(self, id: str, now: timedelta) -> bool:
        """Take in that a record is gone; returns whether the upstream is, too."""
        listed = self._listed.get(id)
        if listed is None:
            return False
        if self._is_in_grace(now) and not listed.record.draining:
            listed.missing_since = now
            return False
        del self._listed[id]
        return True

    def replace(
        self, records: Iterable[UpstreamRecord], now: timedelta
    ) -> list[UpstreamRecord]:
        """Take in the whole list; returns the upstreams that are gone by it."""
        present = set()
        for record in records:
            self.put(record)
            present.add(record.id)
        self._is_known = True
        gone = []
        for id in self._listed.keys() - present:
            record = self._listed[id].record
            if self.remove(id, now):
                gone.append(record)
        return gone

    def expire(self, now: timedelta) -> list[UpstreamRecord]:
        """Drop the records that are still missing after the grace; returns them."""
        if self._grace_until is None or now < self._grace_until:
            return []
        self._grace_until = None
        gone = [
            listed.record
            for listed in self._listed.values()
            if listed.missing_since is not None
        ]
        for record in gone:
            del self._listed[record.id]
        return gone

    def _is_in_grace(self, now: timedelta) -> bool:
        return self._grace_until is not None and now < self._grace_until
