"""Crash watches: which requests were in flight when an upstream crashed.

A broken connection alone isn't a crash: answers are lost and connections are reset
while the upstream is alive. A request is blamed only if its upstream is unreachable,
removed or restarted shortly after.
"""

from collections import defaultdict
from collections.abc import Hashable
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

from .quarantines import CrashId

__all__ = ["CrashWatch"]

Suspect = TypeVar("Suspect", bound=Hashable)
"""What a crash is blamed on: the fingerprint of a request, or a part of its prompt."""

WATCH_TIME = timedelta(seconds=3)
"""How long after a broken send its upstream is watched. A crashed upstream refuses
connections immediately and writes no more records; it restarts seconds later."""
MAX_WATCHED_SENDS = 2_000
"""Maximum number of recorded broken sends; exceeded only if everything fails."""


@dataclass(frozen=True, slots=True)
class _BrokenSend(Generic[Suspect]):
    suspect: Suspect
    boot: str
    at: timedelta


class CrashWatch(Generic[Suspect]):
    """The recently broken sends, by upstream."""

    def __init__(self, capacity: int = MAX_WATCHED_SENDS) -> None:
        self._capacity = capacity
        self._broken: dict[str, list[_BrokenSend[Suspect]]] = defaultdict(list)
        self._count = 0

    def note_broken(
        self, upstream: str, boot: str, suspect: Suspect, now: timedelta
    ) -> None:
        """Record a send whose connection ended without a complete answer.

        `boot` identifies the start of the upstream.
        """
        if self._count >= self._capacity:
            self._broken.clear()
            self._count = 0
        self._broken[upstream].append(_BrokenSend(suspect, boot, now))
        self._count += 1

    def note_lost(
        self, upstream: str, now: timedelta
    ) -> tuple[CrashId, set[Suspect]] | None:
        """Record that an upstream is unreachable, removed or restarted.

        Returns the crash with the suspects of the sends that broke within
        `WATCH_TIME` before it, or None if there are none.
        """
        broken = self._broken.pop(upstream, [])
        self._count -= len(broken)
        recent = [each for each in broken if now - each.at <= WATCH_TIME]
        if not recent:
            return None
        crash = CrashId(upstream, recent[0].boot)
        return crash, {each.suspect for each in recent}
