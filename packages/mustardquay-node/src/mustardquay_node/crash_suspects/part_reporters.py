"""Detection of parts of prompts that crash engines, as seen by one gateway."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.crash_watches import CrashWatch
from mustardquay.crashing_parts import (
    NoticeSchedule,
    PartBook,
    PartRecord,
    compute_start_key,
)
from mustardquay.events import EventRing
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_starts import UpstreamStarts

from .pending_probes import PendingProbes

__all__ = ["PartReporter", "format_part"]

MAX_RECORDS = 14
"""Records in one datagram, which stays below 1400 bytes."""
MAX_LOGGED_PARTS = 6
"""Parts that the line of a crash names, those with the most crashes first."""
MAX_WATCHED_PARTS = 20_000
"""Parts of recently broken sends that are kept, so a few hundred sends."""
REPEATED_CRASHES = 2
"""Crashes from which on a part is repeated: one with a single crash is told as news,
and is as a rule a part that happened to be in flight."""


@dataclass(frozen=True, slots=True, order=True)
class _PlacedPart:
    """A part of a prompt, and its position there from 0."""

    depth: int
    part: int


class PartReporter:
    """Keeps what this gateway and its peers saw of parts, and what peers lack."""

    def __init__(
        self,
        clock: Clock,
        events: EventRing,
        notify: Callable[[], None] = lambda: None,
    ):
        """Initialise without suspects; `notify` has news sent at once."""
        self._clock = clock
        self._events = events
        self._notify = notify
        self.starts = UpstreamStarts()
        """The starts of upstreams; who counts the crashes of requests adds to them."""
        self._book = PartBook()
        self._schedule = NoticeSchedule()
        self._watch: CrashWatch[_PlacedPart] = CrashWatch(MAX_WATCHED_PARTS)
        self._probes = PendingProbes()
        self._refused: set[int] = set()
        """Refused parts, as they were logged."""

    @property
    def has_news(self) -> bool:
        """Return whether other gateways are yet to be told of a part."""
        return bool(self._schedule)

    def note_answered(
        self,
        parts: Sequence[int],
        upstream: UpstreamRecord,
        begun_at: timedelta | None = None,
    ) -> None:
        """Note that an upstream has written an answer on a prompt with these parts.

        `begun_at` is when the send began, on the monotonic clock.
        """
        if not parts:
            return
        start = compute_start_key(upstream.id, self._find_start(upstream, begun_at))
        self._note_news(self._book.note_answered(start, parts, self._now))

    def note_broken_send(
        self,
        upstream: UpstreamRecord,
        parts: Sequence[int],
        probe: "asyncio.Task[None] | None" = None,
        begun_at: timedelta | None = None,
    ) -> None:
        """Note a send whose connection ended without a whole answer.

        `probe` shows whether the upstream is still reachable, and `begun_at` is when
        the send began, on the monotonic clock.
        """
        boot = self._find_start(upstream, begun_at)
        for depth, part in enumerate(parts):
            placed = _PlacedPart(depth, part)
            self._watch.note_broken(upstream.id, boot, placed, self._now)
            if probe is not None:
                self._probes.add(part, probe)

    async def wait_for_verdict(self, parts: Iterable[int]) -> None:
        """Wait until it is known whether a part has crashed too many engines.

        Guards against sends that leave between a crash and its discovery, or between
        that and what other gateways know. Waits only for a part that is going to be
        refused unless an answer speaks for it, or would be if all its broken sends were
        crashes.
        """
        for part in parts:
            pending = self._probes.count(part)
            if pending and pending >= self._book.count_missing(part, self._now):
                await self._probes.wait(part)
            while left := self._book.measure_settling(part, self._now):
                await asyncio.sleep(left.total_seconds())

    def note_upstream_lost(self, upstream: str) -> dict[str, int]:
        """Suspect the parts that were in flight if an upstream has crashed.

        Returns the crashes of those with the most of them, for the log.
        """
        lost = self._watch.note_lost(upstream, self._now)
        if lost is None:
            return {}
        crash, parts = lost
        start = compute_start_key(crash.upstream, crash.boot)
        # In the order of depths, so that the highest one of a part stays.
        suspects = {placed.part: placed.depth for placed in sorted(parts)}
        accused = self._book.note_crash(start, suspects, self._now)
        self._note_news(accused)
        return {
            format_part(part): self.count_crashes(part)
            for part in accused[:MAX_LOGGED_PARTS]
        }

    def find_refused(self, parts: Sequence[int]) -> int | None:
        """Return a part for which a prompt is refused, None if there is none."""
        part = self._book.find_refused(parts, self._now)
        if part is not None and part not in self._refused:
            self._log_verdicts()
        return part

    def count_crashes(self, part: int) -> int:
        """Return the number of crashes that count against a part."""
        return self._book.count_crashes(part)

    def merge(self, records: Iterable[PartRecord]) -> list[PartRecord]:
        """Merge the records of another gateway, and pass on what was new.

        Returns the records with answers that the other gateway doesn't know of.
        """
        merged = self._book.merge(records, self._now)
        self._note_news(merged.news)
        return self._export(merged.unknown_there)

    def repeat(self) -> None:
        """Have what is suspected told once more, and drop what has expired.

        Guards against gateways that started or were cut off since a crash: they would
        count the crashes of a part anew.
        """
        now = self._now
        self._book.expire(now)
        self._log_verdicts()
        self._schedule.repeat(self._book.list_refused(now))
        self._schedule.repeat(self._book.list_suspects(REPEATED_CRASHES, now))

    def take_records(self) -> list[PartRecord]:
        """Return the records for the next datagram."""
        return self._export(self._schedule.take(MAX_RECORDS, self.count_crashes))

    def list_refused_records(self) -> list[PartRecord]:
        """Return the records of refused parts, for a gateway that has just started."""
        return self._export(self._book.list_refused(self._now)[:MAX_RECORDS])

    def _export(self, parts: Iterable[int]) -> list[PartRecord]:
        now = self._now
        records = (self._book.export(part, now) for part in parts)
        return [record for record in records if record is not None]

    def _note_news(self, parts: Sequence[int]) -> None:
        if parts:
            self._schedule.note_news(parts)
            self._notify()

    def _log_verdicts(self) -> None:
        """Log the parts that are refused since the last call, or no longer."""
        refused = set(self._book.list_refused(self._now))
        for part in refused ^ self._refused:
            self._events.record(
                "part.refused" if part in refused else "part.allowed",
                part=format_part(part),
                crashes=self.count_crashes(part),
                answered=self._book.count_answered(part),
            )
        self._refused = refused

    def _find_start(self, upstream: UpstreamRecord, begun_at: timedelta | None) -> str:
        return self.starts.find_name(upstream.id, str(upstream.started_ms), begun_at)

    @property
    def _now(self) -> timedelta:
        return self._clock.monotonic()


def format_part(part: int) -> str:
    """Return the key of a part as it is logged."""
    return f"{part:016x}"
