"""Upstream lists: which upstreams accept work, from the records that they renew.

Each upstream maintains a record of itself in the platform's store, which removes
records that are not renewed. A record may also expire because the upstream could not
renew it during an outage of the store, although it is serving.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "MIN_EXPIRY_OUTAGE",
    "RESTORE_GRACE",
    "Confirmation",
    "ListSource",
    "Stage",
    "UpstreamList",
    "UpstreamRecord",
]

RESTORE_GRACE = timedelta(seconds=2.2)
"""How long records may be missing after the store has recovered. The platform documents
that live upstreams renew theirs within about 2 s; the rest is for one poll."""
MIN_EXPIRY_OUTAGE = timedelta(seconds=2)
"""Outage of the store from which on records of live upstreams may have expired in it:
they do so after three missed heartbeats, which take 2.4 s or more to miss."""


class Stage(StrEnum):
    """The stage of a generation that an engine runs; plain upstreams have none."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """The record that an upstream maintains in the store."""

    id: str
    """Usually changes when the upstream restarts; an upstream refuses work for another
    id."""
    service: str
    address: str
    """IP address and port."""
    availability_zone: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE
    versions: tuple[tuple[str, int], ...] = ()
    """Models with the version of their weights."""
    cold_for: timedelta = timedelta()
    """Remaining warm-up time of the upstream when the record was written."""
    started_ms: int = 0
    """Start of this incarnation in Unix milliseconds; 0 if not reported."""
    sequence: int = 0
    """Increases with each record that an incarnation writes; 0 if not reported."""
    software_version: str = ""
    """Version of the upstream's own software; what two versions write into a stream
    doesn't fit together."""


class ListSource(StrEnum):
    """Where the state of the list comes from."""

    STORE = "store"
    """A read of this process."""
    PEER = "peer"
    """A gateway that reads the list for others."""


@dataclass(frozen=True, slots=True)
class Confirmation:
    """The newest state of the store that the list is known to include."""

    source: ListSource
    at: timedelta
    """When the store had this state, on the monotonic clock."""


@dataclass(slots=True)
class _Listed:
    record: UpstreamRecord
    missing_since: timedelta | None = None


class UpstreamList:
    """The last known records, with a grace period after an outage of the store.

    Guards against an outage in which the records of live upstreams expire: when the
    store recovers, all upstreams of a service appear to be removed at once. Records
    known before the outage are kept for `RESTORE_GRACE` after the first answer, while
    live upstreams write theirs again.
    """

    def __init__(
        self, is_leaving: Callable[[UpstreamRecord], bool] = lambda record: False
    ):
        """Take `is_leaving`: whether an upstream has said so outside its record."""
        self._is_leaving = is_leaving
        self._listed: dict[str, _Listed] = {}
        self._grace_until: timedelta | None = None
        self._is_known = False
        self._confirmation: Confirmation | None = None

    @property
    def confirmation(self) -> Confirmation | None:
        """Return up to when the list is confirmed, None before the first read."""
        return self._confirmation

    @property
    def is_known(self) -> bool:
        """Return whether the list has been read at least once."""
        return self._is_known

    def __iter__(self) -> Iterator[UpstreamRecord]:
        """Yield the upstreams that accept work or are still finishing some."""
        return (listed.record for listed in self._listed.values())

    def get(self, id: str) -> UpstreamRecord | None:
        """Return the record of an upstream."""
        listed = self._listed.get(id)
        return listed.record if listed else None

    def list_usable(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that accept new work."""
        return [
            listed.record
            for listed in self._listed.values()
            if listed.record.service == service
            and not listed.record.draining
            and not self._is_leaving(listed.record)
        ]

    def accepts(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream chosen by a record still accepts new work.

        Guards against news between the choice of an upstream and the send.
        """
        listed = self._listed.get(record.id)
        if listed is None or listed.record.draining:
            return False
        return not self._is_leaving(listed.record)

    def end_outage(self, duration: timedelta, now: timedelta) -> timedelta | None:
        """Start the grace period after an outage in which records may have expired.

        Returns its end; None after a shorter outage, which starts none. Guards against
        a gateway that fails to reach the store once while an upstream leaves: it would
        keep the removed record, and send to that upstream for seconds after all others
        stopped.
        """
        if duration < MIN_EXPIRY_OUTAGE:
            return None
        self._grace_until = now + RESTORE_GRACE
        return self._grace_until

    def extend_grace(self, until: timedelta) -> None:
        """Make the grace period last until a time at least."""
        self._grace_until = max(until, self._grace_until or until)

    def note_confirmed(self, source: ListSource, at: timedelta) -> None:
        """Record that the list includes the state that the store had at a time."""
        if self._confirmation is None or at >= self._confirmation.at:
            self._confirmation = Confirmation(source, at)

    def put(self, record: UpstreamRecord) -> UpstreamRecord | None:
        """Add a record; return the one that it replaces."""
        before = self._listed.get(record.id)
        self._listed[record.id] = _Listed(record)
        self._is_known = True
        return before.record if before else None

    def remove(self, id: str, now: timedelta) -> bool:
        """Remove a record; return whether the upstream was removed, too."""
        listed = self._listed.get(id)
        if listed is None:
            return False
        if self._is_in_grace(now) and not listed.record.draining:
            listed.missing_since = now
            return False
        del self._listed[id]
        return True

    def replace(
        self,
        records: Iterable[UpstreamRecord],
        now: timedelta,
        kept: Collection[str] = (),
    ) -> list[UpstreamRecord]:
        """Replace the whole list; return the upstreams that were removed.

        Upstreams in `kept` stay as they are.
        """
        present = set()
        for record in records:
            self.put(record)
            present.add(record.id)
        self._is_known = True
        gone = []
        for id in self._listed.keys() - present - set(kept):
            record = self._listed[id].record
            if self.remove(id, now):
                gone.append(record)
        return gone

    def expire(self, now: timedelta) -> list[UpstreamRecord]:
        """Drop and return the records still missing after the grace period."""
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
