"""Detection of requests that crash upstreams, by their bodies.

Guards against a request that crashes each upstream that runs it while its caller
retries it, so that upstreams fail one after the other. Each gateway suspects the
requests it had in flight at a crash, gateways merge their suspicions through digests,
and after the third crash all of them refuse the request.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from datetime import timedelta

from xxhash import xxh3_64_intdigest

from mustardquay.clocks import Clock
from mustardquay.crash_news import CrashNews
from mustardquay.crash_watches import (
    ENDED_WATCH_TIME,
    WATCH_TIME,
    CrashWatch,
    UnblamedReason,
)
from mustardquay.events import EventRing
from mustardquay.quarantines import CrashId, CrashRecord, FingerprintStatus, Quarantine
from mustardquay.requests import PromptPart
from mustardquay.text_siblings import TextSiblings
from mustardquay.upstream_lists import UpstreamRecord

from .part_reporters import PartReporter
from .pending_probes import PendingProbes

__all__ = ["CrashReporter", "format_fingerprint"]

CRASH_LIMIT = 3
"""Crashes, each of a different upstream or start of one, after which a request is
refused. Two can involve an unrelated request by chance, as several requests are in
flight at each crash."""
SUSPICION_PERIOD = timedelta(minutes=2)
QUARANTINE_PERIOD = timedelta(minutes=5)
REPEAT_TIME = timedelta(seconds=1)
"""How long digests repeat a change: some 25 of them, of which a few may be lost."""
REPEAT_INTERVAL = timedelta(seconds=1)
"""Minimum time between two repetitions of the records of all suspects."""
RECORDS_LIMIT = 4
"""Records in one digest at most, to bound its size."""
MAX_LOGGED_SUSPECTS = 4
"""Suspects that the line of a crash names, those with the most crashes first."""


class CrashReporter:
    """Tracks requests that crash upstreams, as seen by one gateway and its peers."""

    def __init__(
        self,
        clock: Clock,
        events: EventRing,
        notify_peers: Callable[[], None] = lambda: None,
        parts: PartReporter | None = None,
        note_crash_elsewhere: Callable[[CrashId], None] = lambda crash: None,
    ):
        """Initialise without suspects; `notify_peers` sends the next digest at once.

        `parts` follows the parts of prompts, which requests that differ may share.
        `note_crash_elsewhere` is called once for each crash that only others saw.
        """
        self.parts = parts or PartReporter(clock, events)
        self._clock = clock
        self._events = events
        self._notify_peers = notify_peers
        self._note_crash_elsewhere = note_crash_elsewhere
        self._starts = self.parts.starts
        self._watch = CrashWatch(note_unblamed=self._log_unblamed)
        self._quarantine = Quarantine(
            SUSPICION_PERIOD, QUARANTINE_PERIOD, refused_after=CRASH_LIMIT
        )
        self._siblings = TextSiblings()
        self._reported: deque[tuple[timedelta, int]] = deque([(timedelta(), 0)])
        self._version = 0
        self._suspects: list[int] = []
        """Fingerprints whose records are still to be repeated, one in each digest."""
        self._suspects_due = timedelta()
        self._probes = PendingProbes()
        self._news = CrashNews()
        self.on_news: Callable[[], None] = lambda: None
        """Called when a record has changed that other gateways have to know."""

    @staticmethod
    def compute_fingerprint(method: str, path: str, body: bytes) -> int:
        """Return a hash that identifies a request when it is sent again."""
        return xxh3_64_intdigest(
            body, seed=xxh3_64_intdigest(f"{method} {path}".encode())
        )

    @staticmethod
    def compute_text_key(organisation: str | None, part: PromptPart | None) -> int:
        """Return a key of the text that a caller wrote; 0 without one."""
        if part is None:
            return 0
        return xxh3_64_intdigest(f"{organisation or ''}\n{part.id}".encode())

    def is_refused(self, fingerprint: int) -> bool:
        """Return whether a request is quarantined for its number of crashes.

        A suspect is also refused once other requests with its text have crashed as many
        upstreams as any may, without it: then its own crash is explained by that text.
        """
        now = self._clock.monotonic()
        status = self._quarantine.find_status(fingerprint, now)
        if status is FingerprintStatus.SUSPECT:
            return self.count_sibling_crashes(fingerprint) >= CRASH_LIMIT
        return status is FingerprintStatus.REFUSED

    def count_sibling_crashes(self, fingerprint: int) -> int:
        """Return the crashes under requests with the same text, not under this one."""
        now = self._clock.monotonic()
        crashes = {
            crash
            for each in self._siblings.list_others(fingerprint)
            for crash in self._quarantine.list_counted(each, now)
        }
        return len(crashes - self._quarantine.list_counted(fingerprint, now))

    async def wait_for_probes(self, fingerprint: int) -> None:
        """Wait until it is known whether a request has crashed too many upstreams.

        Guards against repeats that leave between a crash and its discovery, each of
        which would crash one upstream more than `CRASH_LIMIT`. Waits only for a request
        that would be refused if all its broken sends were crashes.
        """
        pending = self._probes.count(fingerprint)
        if not pending:
            return
        if (
            self.count_crashes(fingerprint) + pending >= CRASH_LIMIT
            or self.count_sibling_crashes(fingerprint) >= CRASH_LIMIT
        ):
            await self._probes.wait(fingerprint)

    def note_broken_send(
        self,
        upstream: UpstreamRecord,
        fingerprint: int,
        probe: "asyncio.Task[None] | None" = None,
        text: int = 0,
        begun_at: timedelta | None = None,
    ) -> None:
        """Note a send whose connection ended without a whole answer.

        `probe` shows whether the upstream is still reachable; `text` is the key of what
        the caller wrote, 0 without one. `begun_at` is when the send began, on the
        monotonic clock.
        """
        self._watch_send(upstream, fingerprint, text, begun_at, WATCH_TIME)
        if probe is not None:
            self._probes.add(fingerprint, probe)

    def note_ended_send(
        self,
        upstream: UpstreamRecord,
        fingerprint: int,
        text: int = 0,
        begun_at: timedelta | None = None,
    ) -> None:
        """Note a send that this gateway has ended, and whose upstream may end with it.

        Its connection tells nothing of a crash: it counts only if the upstream is found
        lost at that moment. The arguments are those of `note_broken_send`.
        """
        self._watch_send(upstream, fingerprint, text, begun_at, ENDED_WATCH_TIME)

    def settle_send(self, upstream: str, begun_at: timedelta) -> None:
        """Blame a send that has ended if its upstream was found lost before that.

        Guards against an upstream that is dark: it is known as lost while the request
        still waits for its answer, and is not found lost once more.
        """
        if self._watch.was_lost_since(upstream, begun_at):
            self.note_upstream_lost(upstream)

    def _watch_send(
        self,
        upstream: UpstreamRecord,
        fingerprint: int,
        text: int,
        begun_at: timedelta | None,
        watch_time: timedelta,
    ) -> None:
        now = self._clock.monotonic()
        self._note_text(fingerprint, text)
        boot = self._starts.find_name(upstream.id, str(upstream.started_ms), begun_at)
        self._watch.note_broken(upstream.id, boot, fingerprint, now, watch_time)

    def note_answer(self, fingerprint: int, request: str, upstream: str) -> None:
        """Clear a request that an upstream has answered."""
        now = self._clock.monotonic()
        crashes = self.count_crashes(fingerprint)
        if not self._quarantine.note_answer(fingerprint, now):
            return
        self._note_changed([fingerprint])
        self._events.record(
            "quarantine.cleared",
            request=request,
            upstream=upstream,
            fingerprint=format_fingerprint(fingerprint),
            crashes=crashes,
        )

    def note_upstream_lost(self, upstream: str) -> None:
        """Note that an upstream is unreachable, removed or restarted."""
        now = self._clock.monotonic()
        parts = self.parts.note_upstream_lost(upstream)
        suspected = self._watch.note_lost(upstream, now)
        if suspected is None:
            return
        crash, fingerprints = suspected
        self._starts.add(crash, now)
        self._quarantine.note_crash(crash, fingerprints, now)
        self._note_changed(fingerprints)
        suspects = sorted(fingerprints, key=self.count_crashes, reverse=True)
        self._events.record(
            "upstream.crashed",
            upstream=upstream,
            requests=len(fingerprints),
            suspects={
                format_fingerprint(each): self.count_crashes(each)
                for each in suspects[:MAX_LOGGED_SUSPECTS]
            },
            parts=parts,
        )
        self._notify_peers()

    def count_crashes(self, fingerprint: int) -> int:
        """Return the number of crashes that count against a request."""
        return self._quarantine.count_crashes(fingerprint)

    def list_records(self) -> tuple[CrashRecord, ...]:
        """Return the records for the next digest: the changed ones, or else one other.

        Guards against gateways that did not hear of a crash when it was new, as they
        started later or were cut off: they would count the crashes of a request anew.
        """
        return self._list_recent_changes() or self._list_next_suspect()

    def _list_next_suspect(self) -> tuple[CrashRecord, ...]:
        now = self._clock.monotonic()
        if not self._suspects and now >= self._suspects_due:
            self._suspects = self._quarantine.list_suspects(now)
            self._suspects_due = now + REPEAT_INTERVAL
        if not self._suspects:
            return ()
        return self._add_texts([self._quarantine.export(self._suspects.pop(), now)])

    def _list_recent_changes(self) -> tuple[CrashRecord, ...]:
        now = self._clock.monotonic()
        while len(self._reported) > 1 and now - self._reported[1][0] > REPEAT_TIME:
            self._reported.popleft()
        since = self._reported[0][1]
        records, version = self._quarantine.list_changes(since, now, RECORDS_LIMIT)
        if version != self._version:
            self._version = version
            self._reported.append((now, version))
        return self._add_texts(records)

    def merge(self, records: Sequence[CrashRecord]) -> None:
        """Merge the records of another gateway's digest."""
        now = self._clock.monotonic()
        for crash in {crash for record in records for crash in record.crashes}:
            if self._starts.add(crash, now):
                self._note_crash_elsewhere(crash)
        for record in records:
            self._note_text(record.fingerprint, record.text)
        changed = [
            record.fingerprint
            for record in records
            if self._quarantine.merge([record], now)
        ]
        if changed:
            self._note_changed(changed)
            self._events.record("quarantine.merged", records=len(changed))

    @property
    def has_news(self) -> bool:
        """Return whether other gateways are yet to be told of a record."""
        return bool(self._news)

    def take_news(self, limit: int) -> tuple[CrashRecord, ...]:
        """Return the records to tell other gateways now, the gravest first."""
        now = self._clock.monotonic()
        chosen = self._news.take(limit, self.count_crashes)
        return self._add_texts(self._quarantine.export(each, now) for each in chosen)

    def _note_text(self, fingerprint: int, text: int) -> None:
        self._siblings.note(fingerprint, text)
        if self._siblings.is_full:
            now = self._clock.monotonic()
            self._siblings.retain(self._quarantine.list_suspects(now))

    def _add_texts(
        self, records: Iterable[CrashRecord | None]
    ) -> tuple[CrashRecord, ...]:
        """Return the records that are there, with the texts of their requests."""
        return tuple(
            replace(record, text=self._siblings.find_text(record.fingerprint))
            for record in records
            if record is not None
        )

    def _log_unblamed(self, upstream: str, reason: UnblamedReason, sends: int) -> None:
        self._events.record(
            "crash.unblamed", upstream=upstream, reason=reason.value, sends=sends
        )

    def _note_changed(self, fingerprints: Iterable[int]) -> None:
        for each in fingerprints:
            self._news.add(each)
        self.on_news()


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as it is logged."""
    return f"{fingerprint:016x}"
