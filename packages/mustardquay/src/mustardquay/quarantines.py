"""Quarantine: requests that crash the upstreams which run them.

Requests are identified by the fingerprint of their body, so that a repeated request
is recognised. When an engine crashes, every request that was in flight becomes a
suspect: it runs on one upstream at a time. After a second crash the fingerprint is
refused everywhere for a time; an answer clears it.

There is no central authority. Records are grow-only sets of crashes and of cleared
crashes, so that merging in any order gives the same result; all processes choose the
same upstream for a suspect by rendezvous hashing, and the agent there, which handles
the attempts of every entry, runs one suspect at a time.

Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase
hit rates", 1998. Merged sets: Shapiro et al., "Conflict-free replicated data types",
2011 (two-phase set).
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from xxhash import xxh3_64_intdigest

from .errors import Reason, Refusal

__all__ = [
    "CrashId",
    "CrashRecord",
    "FingerprintStatus",
    "Quarantine",
    "SuspectGate",
    "choose_suspect_upstream",
]

MINIMUM_REMAINING = timedelta(seconds=5)
"""Records with less time remaining are not merged: two peers that drop a record at
slightly different times would otherwise send it back and forth forever."""

Key = tuple[str, int]


class FingerprintStatus(StrEnum):
    """Whether a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, order=True)
class CrashId:
    """One crash: the upstream, and the boot of its engine that crashed."""

    upstream: str
    boot: str


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The record of one fingerprint, as heartbeats carry it between processes."""

    fingerprint: int
    crashes: frozenset[CrashId]
    cleared: frozenset[CrashId]
    remaining: timedelta
    """Time until the record expires; a duration, as processes don't share a clock."""
    text: int = 0
    """Key of the text that the caller wrote; 0 if there is none, or it isn't known."""


@dataclass(slots=True)
class _FingerprintRecord:
    crashes: set[CrashId]
    cleared: set[CrashId]
    until: timedelta
    version: int


class Quarantine:
    """The fingerprints recorded at one process because of crashes.

    Guards against a request that crashes every engine it runs on while its caller
    retries it; the symptom is engines failing one after the other. A crash is sent
    immediately over every link, to entries and from there to agents. The records of
    the agents decide, so that retries through other entries get the same decision.
    """

    def __init__(
        self,
        suspicion: timedelta = timedelta(minutes=10),
        refusal: timedelta = timedelta(minutes=30),
        capacity: int = 2000,
        crashes: int = 8,
        refused_after: int = 2,
    ):
        """Set the limits of the records.

        Suspects are kept for `suspicion`; after `refused_after` crashes a fingerprint
        is refused for `refusal`.
        """
        self._refused_after = refused_after
        self._suspicion = suspicion
        self._refusal = refusal
        self._capacity = capacity
        self._crashes = crashes
        self._records: dict[int, _FingerprintRecord] = {}
        self._version = 0

    def __len__(self) -> int:
        return len(self._records)

    def note_crash(
        self, crash: CrashId, fingerprints: Iterable[int], now: timedelta
    ) -> None:
        """Record an engine crash and the fingerprints that were in flight."""
        for fingerprint in fingerprints:
            self._merge(fingerprint, {crash}, set(), now + self._suspicion, now)

    def note_answer(self, fingerprint: int, now: timedelta) -> bool:
        """Clear a suspect after an engine has answered it; returns whether it was one.

        A refused fingerprint stays refused: it may have crashed two engines while a
        third one happened to survive it.
        """
        record = self._records.get(fingerprint)
        if (
            record is None
            or self.find_status(fingerprint, now) is not FingerprintStatus.SUSPECT
        ):
            return False
        self._merge(fingerprint, set(), set(record.crashes), record.until, now)
        return True

    def find_status(self, fingerprint: int, now: timedelta) -> FingerprintStatus:
        """Return whether the fingerprint is clear, a suspect or refused now."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return FingerprintStatus.CLEAR
        counted = self.count_crashes(fingerprint)
        if counted == 0:
            return FingerprintStatus.CLEAR
        is_refused = counted >= self._refused_after
        return FingerprintStatus.REFUSED if is_refused else FingerprintStatus.SUSPECT

    def refuse(self, fingerprint: int, now: timedelta) -> Refusal | None:
        """Return a refusal if the fingerprint is refused, else None."""
        if self.find_status(fingerprint, now) is not FingerprintStatus.REFUSED:
            return None
        return Refusal(
            Reason.QUARANTINE,
            f"This request was in flight in {self._refused_after} crashes of engines; "
            "change it, or send it again when the quarantine ends.",
            self._records[fingerprint].until - now,
        )

    def list_crashed(self, fingerprint: int) -> frozenset[str]:
        """Return the upstreams that crashed while the fingerprint was in flight."""
        record = self._records.get(fingerprint)
        if record is None:
            return frozenset()
        return frozenset(crash.upstream for crash in record.crashes - record.cleared)

    def list_counted(self, fingerprint: int, now: timedelta) -> frozenset[CrashId]:
        """Return the crashes that count against a fingerprint now."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return frozenset()
        return frozenset(record.crashes - record.cleared)

    def count_crashes(self, fingerprint: int) -> int:
        """Return the number of crashes that count against a fingerprint."""
        record = self._records.get(fingerprint)
        return 0 if record is None else len(record.crashes - record.cleared)

    def list_changes(
        self, since: int, now: timedelta, limit: int = 100
    ) -> tuple[tuple[CrashRecord, ...], int]:
        """Return at most `limit` records that changed after version `since`, and the
        version up to which the peer is then current; 0 is for a new link.
        """
        changed = [
            (record.version, fingerprint, record)
            for fingerprint, record in self._records.items()
            if record.version > since and record.until > now
        ]
        changed.sort(key=lambda item: item[0])
        chosen = changed[:limit]
        records = tuple(
            _export_record(fingerprint, record, now)
            for _, fingerprint, record in chosen
        )
        if len(changed) > limit:
            return records, chosen[-1][0]
        return records, self._version

    def list_suspects(self, now: timedelta) -> list[int]:
        """Return the fingerprints with crashes that count."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if record.until > now and record.crashes - record.cleared
        ]

    def export(self, fingerprint: int, now: timedelta) -> CrashRecord | None:
        """Return the record of a fingerprint, None if it has expired."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return None
        return _export_record(fingerprint, record, now)

    def merge(self, records: Iterable[CrashRecord], now: timedelta) -> bool:
        """Merge a peer's records; return True if any of them was new."""
        before = self._version
        for record in records:
            if record.remaining < MINIMUM_REMAINING:
                continue
            remaining = min(record.remaining, self._refusal)
            crashes = set(record.crashes)
            cleared = set(record.cleared)
            self._merge(record.fingerprint, crashes, cleared, now + remaining, now)
        return self._version > before

    def _merge(
        self,
        fingerprint: int,
        crashes: set[CrashId],
        cleared: set[CrashId],
        until: timedelta,
        now: timedelta,
    ) -> None:
        record = self._records.get(fingerprint)
        is_new = record is None or record.until <= now
        if is_new:
            record = _FingerprintRecord(set(), set(), until, 0)
        if crashes <= record.crashes and cleared <= record.cleared:
            # Nothing new: the expiry is not extended either, or two peers that send
            # a record to each other repeatedly would extend it forever.
            return
        counted = len(record.crashes - record.cleared)
        record.crashes |= crashes
        record.cleared |= cleared
        self._limit_crashes(record)
        record.until = max(record.until, until)
        now_counted = len(record.crashes - record.cleared)
        if not is_new and counted < self._refused_after <= now_counted:
            record.until = max(record.until, now + self._refusal)
        self._version += 1
        record.version = self._version
        self._records[fingerprint] = record
        self._evict(now)

    def _limit_crashes(self, record: _FingerprintRecord) -> None:
        if len(record.crashes) <= self._crashes:
            return
        kept = sorted(record.crashes - record.cleared)[: self._crashes]
        record.crashes = set(kept)
        record.cleared &= record.crashes

    def _evict(self, now: timedelta) -> None:
        if len(self._records) <= self._capacity:
            return
        for fingerprint in [
            key for key, record in self._records.items() if record.until <= now
        ]:
            del self._records[fingerprint]
        while len(self._records) > self._capacity:
            weakest = min(self._records, key=self._get_eviction_key)
            del self._records[weakest]

    def _get_eviction_key(self, fingerprint: int) -> tuple[int, int]:
        """Return a key by which those with the fewest crashes are evicted first.

        Refused ones are equal, as further crashes change nothing for them.
        """
        record = self._records[fingerprint]
        counted = len(record.crashes - record.cleared)
        return (min(counted, self._refused_after), record.version)


def _export_record(
    fingerprint: int, record: _FingerprintRecord, now: timedelta
) -> CrashRecord:
    return CrashRecord(
        fingerprint,
        frozenset(record.crashes),
        frozenset(record.cleared),
        record.until - now,
    )


class SuspectGate:
    """Lets one suspect at a time run on the engine of an agent.

    If two suspects ran concurrently, a crash would count for both of them, and a
    harmless request would be refused together with the one that causes the crashes.
    """

    def __init__(self):
        self._running: Key | None = None

    @property
    def running(self) -> Key | None:
        """Return the attempt of the running suspect."""
        return self._running

    def admit(self, key: Key) -> bool:
        """Start a suspect; return False while another one runs."""
        if self._running not in (None, key):
            return False
        self._running = key
        return True

    def finish(self, key: Key) -> None:
        """Record the end of an attempt, which need not be of a suspect."""
        if self._running == key:
            self._running = None


def choose_suspect_upstream(
    fingerprint: int, upstreams: Collection[str], crashed: Collection[str] = ()
) -> str | None:
    """Return the only upstream that may run a suspect, the same for every entry.

    `upstreams` are all that may run the work according to the instance list, whether
    or not this entry can reach them: entries that can't reach different upstreams
    would otherwise choose different ones. `crashed` are those in the shared record;
    they may still be starting. If the chosen one is unreachable, the work waits or is
    refused; it is not sent to another.
    """
    candidates = set(upstreams) - set(crashed) or set(upstreams)
    if not candidates:
        return None
    return max(
        candidates, key=lambda name: (_rendezvous_score(fingerprint, name), name)
    )


def _rendezvous_score(fingerprint: int, name: str) -> int:
    return xxh3_64_intdigest(f"{fingerprint}/{name}".encode())
