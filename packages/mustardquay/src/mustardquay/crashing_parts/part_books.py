"""Part books: the parts that one gateway suspects, from its own view and from others'.

There is no central authority. A record is two sets of starts of engines that only grow,
those that crashed on the part and those that answered it, so that merging in any order
gives the same result.

Merged sets: Shapiro et al., "Conflict-free replicated data types", 2011.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from .answered_parts import AnsweredParts
from .part_records import PartRecord
from .verdicts import (
    REFUSED_AFTER,
    explains,
    find_refused,
    is_sound,
    is_suspicious,
    keep_smallest,
    list_counted,
)

__all__ = ["MergedNews", "PartBook"]

SUSPICION_PERIOD = timedelta(minutes=2)
REFUSAL_PERIOD = timedelta(minutes=5)
MINIMUM_REMAINING = timedelta(seconds=5)
"""Records with less time remaining are not merged: two gateways that drop a record at
slightly different times would otherwise send it back and forth forever."""
SETTLING_TIME = timedelta(milliseconds=200)
"""Time between the last crash that is needed and the refusal, in which other gateways
tell who answered the part: one that has just started knows of no answers."""
CAPACITY = 1000
"""Records that are kept; those with the fewest crashes are dropped first."""
MAX_ACCUSED = 256
"""Parts that one gateway suspects after one crash."""
TOLD_CRASHES = 2
"""Crashes from which on gateways tell each other who answered a part: one with a single
crash is as a rule a part that happened to be in flight."""


@dataclass(slots=True)
class _Evidence:
    crashed: frozenset[int]
    answered: frozenset[int]
    depth: int
    has_crashed_apart: bool
    until: timedelta
    judged_at: timedelta = timedelta()
    """Since when the crashes suffice to refuse the part."""

    @property
    def count(self) -> int:
        """Return the number of crashes that count."""
        return len(list_counted(self.crashed, self.answered))

    @property
    def content(self) -> tuple[frozenset[int], frozenset[int], int, bool]:
        """Return what other gateways are told."""
        return (self.crashed, self.answered, self.depth, self.has_crashed_apart)


@dataclass(frozen=True, slots=True)
class MergedNews:
    """What came of merging the records of another gateway."""

    news: list[int]
    """Parts that others are to hear of from here."""
    unknown_there: list[int]
    """Parts that the other gateway suspects, not knowing who answered them."""


class PartBook:
    """The parts of prompts that were in flight in crashes, with what speaks for them.

    Guards against prompts with a part that crashes each engine which writes on it, no
    two alike, at any gateway: engines would fail one after the other.
    """

    def __init__(
        self, answered: AnsweredParts | None = None, capacity: int = CAPACITY
    ) -> None:
        self._answered = answered or AnsweredParts()
        self._capacity = capacity
        self._records: dict[int, _Evidence] = {}
        self._candidates: set[int] = set()
        """Parts that are refused, or one crash short of it."""
        self._judged: set[int] = set()
        """Those of them whose crashes no other part explains."""

    def __len__(self) -> int:
        return len(self._records)

    def note_crash(
        self, start: int, parts: Mapping[int, int], now: timedelta
    ) -> list[int]:
        """Suspect the parts of answers that a start was writing when it crashed.

        `parts` has the position of each in its prompt. Returns those that the crash
        counts against, the ones with the most crashes first.
        """
        accused = [part for part in parts if self._counts(part, start, now)]
        accused.sort(key=self.count_crashes, reverse=True)
        del accused[MAX_ACCUSED:]
        for part in accused:
            known = self._answered.list_starts(part, now)
            seen = PartRecord(
                part,
                frozenset({start}),
                known,
                parts[part],
                self._crashed_apart(part, start, parts, now),
                SUSPICION_PERIOD,
            )
            self._update(seen, now)
        return accused

    def _crashed_apart(
        self, part: int, start: int, parts: Mapping[int, int], now: timedelta
    ) -> bool:
        """Return whether a crash lacks a refused part that came with this one so far.

        Prompts with that part are sent no more, so it is not the cause.
        """
        record = self._records.get(part)
        if record is None:
            return False
        refused = set(self.list_refused(now)) - parts.keys()
        others = (self._records[each] for each in refused)
        return any(
            explains(each, record)
            and start not in each.crashed
            and not each.crashed.isdisjoint(record.crashed)
            for each in others
        )

    def _counts(self, part: int, start: int, now: timedelta) -> bool:
        """Return whether a crash counts against a part, as far as is known here."""
        known = self._answered.list_starts(part, now)
        record = self._records.get(part)
        if record is not None:
            known |= record.answered
        return start not in known and not is_sound(known)

    def note_answered(
        self, start: int, parts: Iterable[int], now: timedelta
    ) -> list[int]:
        """Note that a start has written an answer; return the parts with news."""
        parts = tuple(parts)
        self._answered.note(parts, start, now)
        return [
            part
            for part in parts
            if part in self._records
            and self._add_answered(part, frozenset({start}), now)
            and self._is_worth_telling(part)
        ]

    def merge(self, records: Iterable[PartRecord], now: timedelta) -> MergedNews:
        """Merge the records of another gateway."""
        news = []
        unknown_there = []
        for record in records:
            if record.remaining < MINIMUM_REMAINING:
                continue
            part = record.part
            is_new = self._update(record, now)
            own = self._answered.list_starts(part, now)
            if self._add_answered(part, own, now):
                unknown_there.append(part)
            if part in unknown_there or is_new and self._is_worth_telling(part, 1):
                news.append(part)
        return MergedNews(news, unknown_there)

    def _add_answered(self, part: int, starts: frozenset[int], now: timedelta) -> bool:
        """Add starts that answered a suspect; return whether any was new."""
        record = self._records.get(part)
        if record is None:
            return False
        left = record.until - now
        seen = PartRecord(part, frozenset(), starts, record.depth, False, left)
        return self._update(seen, now)

    def _is_worth_telling(self, part: int, least: int = TOLD_CRASHES) -> bool:
        return self.count_crashes(part) >= least

    def is_refused(self, part: int, now: timedelta) -> bool:
        """Return whether prompts with a part are refused."""
        return self._is_judged(part, now) and not self.measure_settling(part, now)

    def measure_settling(self, part: int, now: timedelta) -> timedelta:
        """Return the time until a part is refused if nothing speaks for it till then.

        Zero for a part that is refused already, or isn't going to be.
        """
        if not self._is_judged(part, now):
            return timedelta()
        return max(self._records[part].judged_at + SETTLING_TIME - now, timedelta())

    def _is_judged(self, part: int, now: timedelta) -> bool:
        return part in self._judged and self._records[part].until > now

    def find_refused(self, parts: Iterable[int], now: timedelta) -> int | None:
        """Return the first refused part among those of a prompt."""
        if not self._judged:
            return None
        return next((part for part in parts if self.is_refused(part, now)), None)

    def count_crashes(self, part: int) -> int:
        """Return the number of crashes that count against a part."""
        record = self._records.get(part)
        return 0 if record is None else record.count

    def count_missing(self, part: int, now: timedelta) -> int:
        """Return how many more crashes would have a part refused."""
        record = self._records.get(part)
        answered = self._answered.list_starts(part, now)
        if record is not None:
            answered |= record.answered
        return REFUSED_AFTER + len(answered) - self.count_crashes(part)

    def count_answered(self, part: int) -> int:
        """Return how many starts are known to have answered a suspect."""
        record = self._records.get(part)
        return 0 if record is None else len(record.answered)

    def list_refused(self, now: timedelta) -> list[int]:
        """Return the refused parts."""
        return [part for part in self._judged if self.is_refused(part, now)]

    def list_suspects(self, least: int, now: timedelta) -> list[int]:
        """Return the parts with `least` crashes or more that count."""
        return [
            part
            for part, record in self._records.items()
            if record.until > now and record.count >= least
        ]

    def export(self, part: int, now: timedelta) -> PartRecord | None:
        """Return the record of a part, None if it has expired."""
        record = self._records.get(part)
        if record is None or record.until <= now:
            return None
        return PartRecord(
            part,
            record.crashed,
            record.answered,
            record.depth,
            record.has_crashed_apart,
            record.until - now,
        )

    def expire(self, now: timedelta) -> None:
        """Drop expired records."""
        expired = [part for part, each in self._records.items() if each.until <= now]
        self._drop(expired)

    def _update(self, seen: PartRecord, now: timedelta) -> bool:
        """Add to a record; return whether anything was new.

        The expiry is not extended without news, or two gateways that send a record to
        each other repeatedly would extend it forever.
        """
        part = seen.part
        until = now + min(seen.remaining, REFUSAL_PERIOD)
        record = self._records.get(part)
        if record is None or record.until <= now:
            record = _Evidence(frozenset(), frozenset(), 0, False, until)
        known = record.content
        record.crashed = keep_smallest(record.crashed | seen.crashed)
        record.answered = keep_smallest(record.answered | seen.answered)
        record.depth = max(record.depth, seen.depth)
        record.has_crashed_apart |= seen.has_crashed_apart
        if known == record.content:
            return False
        record.until = max(record.until, until)
        self._records[part] = record
        self._judge(part, record, now)
        if len(self._records) > self._capacity:
            self._evict(now)
        return True

    def _judge(self, part: int, record: _Evidence, now: timedelta) -> None:
        """Decide anew which parts are refused, after news of one of them."""
        if is_suspicious(record.crashed, record.answered):
            self._candidates.add(part)
        elif part in self._candidates:
            self._candidates.discard(part)
        else:
            return
        judged = find_refused({each: self._records[each] for each in self._candidates})
        for each in judged - self._judged:
            added = self._records[each]
            added.judged_at = now
            added.until = max(added.until, now + REFUSAL_PERIOD)
        self._judged = judged

    def _evict(self, now: timedelta) -> None:
        self.expire(now)
        excess = len(self._records) - self._capacity
        if excess <= 0:
            return
        by_count = sorted(self._records, key=lambda part: self._records[part].count)
        self._drop(by_count[:excess])

    def _drop(self, parts: Iterable[int]) -> None:
        for part in parts:
            del self._records[part]
            self._candidates.discard(part)
            self._judged.discard(part)
