"""Quarantines: requests that crash the upstreams which run them.

Work is known by the fingerprint of its body, so that it is recognised when its
caller sends it again. Each crash of an engine accuses all that was in flight. An
accused fingerprint is a suspect: it runs on one upstream at a time. A second crash
makes it refused everywhere for a time; an answer clears it.

No process has authority over this. Records are grow-only sets of crashes and of
cleared crashes, so that any order of merges gives the same result; all processes
choose the same upstream for a suspect by rendezvous hashing, and the agent there,
through which every entry's attempts must pass, runs one suspect at a time.

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
    "Quarantine",
    "Standing",
    "SuspectGate",
    "choose_suspect_upstream",
]

FLOOR = timedelta(seconds=5)
"""Records that end sooner are not taken over: two peers that forget a record at
slightly different times would else hand it to and fro for ever."""

Key = tuple[str, int]


class Standing(StrEnum):
    """What is held against a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, order=True)
class CrashId:
    """One crash: the upstream, and the boot of its engine that ended."""

    upstream: str
    boot: str


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What one process tells another of a fingerprint, in a heartbeat."""

    fingerprint: int
    crashes: frozenset[CrashId]
    cleared: frozenset[CrashId]
    remaining: timedelta
    """How long the record still counts, as clocks are not shared."""


@dataclass(slots=True)
class _Entry:
    crashes: set[CrashId]
    cleared: set[CrashId]
    until: timedelta
    version: int


class Quarantine:
    """The fingerprints that one process knows from crashes.

    Guards against a request that crashes each engine it meets while its caller
    sends it again: it shows as engines that fail one after the other. The crash is
    told at once over every link, to entries and on to agents; what the agents know
    decides, so that repeats through other entries meet the same rule.
    """

    def __init__(
        self,
        suspicion: timedelta = timedelta(minutes=10),
        refusal: timedelta = timedelta(minutes=30),
        capacity: int = 2000,
        crashes: int = 8,
        refused_after: int = 2,
    ):
        """Take how long records count; `refused_after` crashes end in refusal."""
        self._refused_after = refused_after
        self._suspicion = suspicion
        self._refusal = refusal
        self._capacity = capacity
        self._crashes = crashes
        self._entries: dict[int, _Entry] = {}
        self._version = 0

    def __len__(self) -> int:
        return len(self._entries)

    def note_crash(
        self, crash: CrashId, fingerprints: Iterable[int], now: timedelta
    ) -> None:
        """Accuse all that was in flight when an engine crashed."""
        for fingerprint in fingerprints:
            self._merge(fingerprint, {crash}, set(), now + self._suspicion, now)

    def note_answer(self, fingerprint: int, now: timedelta) -> None:
        """Clear a suspect that an engine has run to its end.

        A refused fingerprint stays refused: it may have crashed two engines while
        a third happened to survive it.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or self.judge(fingerprint, now) is not Standing.SUSPECT:
            return
        self._merge(fingerprint, set(), set(entry.crashes), entry.until, now)

    def judge(self, fingerprint: int, now: timedelta) -> Standing:
        """Return what is held against the fingerprint now."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.until <= now:
            return Standing.CLEAR
        counted = len(entry.crashes - entry.cleared)
        if counted == 0:
            return Standing.CLEAR
        is_refused = counted >= self._refused_after
        return Standing.REFUSED if is_refused else Standing.SUSPECT

    def refuse(self, fingerprint: int, now: timedelta) -> Refusal | None:
        """Return the refusal of a fingerprint that is refused, or None."""
        if self.judge(fingerprint, now) is not Standing.REFUSED:
            return None
        return Refusal(
            Reason.QUARANTINE,
            f"This request was in flight in {self._refused_after} crashes of engines; "
            "change it, or send it again when the quarantine ends.",
            self._entries[fingerprint].until - now,
        )

    def list_crashed(self, fingerprint: int) -> frozenset[str]:
        """Return the upstreams that the fingerprint was seen to crash."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return frozenset()
        return frozenset(crash.upstream for crash in entry.crashes - entry.cleared)

    def list_changes(
        self, since: int, now: timedelta, limit: int = 100
    ) -> tuple[tuple[CrashRecord, ...], int]:
        """Return at most `limit` records changed behind version `since`, and the
        version up to which the peer then knows all; 0 starts a new link.
        """
        changed = [
            (entry.version, fingerprint, entry)
            for fingerprint, entry in self._entries.items()
            if entry.version > since and entry.until > now
        ]
        changed.sort(key=lambda item: item[0])
        chosen = changed[:limit]
        records = tuple(
            CrashRecord(
                fingerprint,
                frozenset(entry.crashes),
                frozenset(entry.cleared),
                entry.until - now,
            )
            for _, fingerprint, entry in chosen
        )
        if len(changed) > limit:
            return records, chosen[-1][0]
        return records, self._version

    def merge(self, records: Iterable[CrashRecord], now: timedelta) -> bool:
        """Take in a peer's records; True when something was news, to pass on."""
        before = self._version
        for record in records:
            if record.remaining < FLOOR:
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
        entry = self._entries.get(fingerprint)
        is_new = entry is None or entry.until <= now
        if is_new:
            entry = _Entry(set(), set(), until, 0)
        if crashes <= entry.crashes and cleared <= entry.cleared:
            # Known already: the time is kept too, or two peers that repeat a
            # record to each other would extend it for ever.
            return
        counted = len(entry.crashes - entry.cleared)
        entry.crashes |= crashes
        entry.cleared |= cleared
        self._bound(entry)
        entry.until = max(entry.until, until)
        now_counted = len(entry.crashes - entry.cleared)
        if not is_new and counted < self._refused_after <= now_counted:
            entry.until = max(entry.until, now + self._refusal)
        self._version += 1
        entry.version = self._version
        self._entries[fingerprint] = entry
        self._make_room(now)

    def _bound(self, entry: _Entry) -> None:
        if len(entry.crashes) <= self._crashes:
            return
        kept = sorted(entry.crashes - entry.cleared)[: self._crashes]
        entry.crashes = set(kept)
        entry.cleared &= entry.crashes

    def _make_room(self, now: timedelta) -> None:
        if len(self._entries) <= self._capacity:
            return
        for fingerprint in [
            key for key, entry in self._entries.items() if entry.until <= now
        ]:
            del self._entries[fingerprint]
        while len(self._entries) > self._capacity:
            # Suspects go first: what is refused has been seen twice.
            weakest = min(self._entries, key=self._weigh)
            del self._entries[weakest]

    def _weigh(self, fingerprint: int) -> tuple[int, int]:
        entry = self._entries[fingerprint]
        return (min(len(entry.crashes - entry.cleared), 2), entry.version)


class SuspectGate:
    """Lets one suspect at a time run on the engine beside an agent.

    If two suspects ran together, a crash would accuse both a second time, and the
    innocent one would be refused with the guilty.
    """

    def __init__(self):
        self._running: Key | None = None

    @property
    def running(self) -> Key | None:
        """Return the attempt of the suspect that runs."""
        return self._running

    def admit(self, key: Key) -> bool:
        """Start a suspect; False while another one runs."""
        if self._running not in (None, key):
            return False
        self._running = key
        return True

    def finish(self, key: Key) -> None:
        """Note that an attempt has ended, also when it was no suspect."""
        if self._running == key:
            self._running = None


def choose_suspect_upstream(
    fingerprint: int, upstreams: Collection[str], crashed: Collection[str] = ()
) -> str | None:
    """Return the only upstream that may run a suspect, the same for every entry.

    `upstreams` are the names that may run the work by the instance list, whether or
    not this entry reaches them: entries that cut off different upstreams would
    otherwise choose different ones. `crashed` are those of the shared record; they
    may still be starting. If the chosen one can't be reached the work waits or is
    refused; it does not go to the next.
    """
    candidates = set(upstreams) - set(crashed) or set(upstreams)
    if not candidates:
        return None
    return max(candidates, key=lambda name: (_score(fingerprint, name), name))


def _score(fingerprint: int, name: str) -> int:
    return xxh3_64_intdigest(f"{fingerprint}/{name}".encode())
