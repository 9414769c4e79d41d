"""Crash watches: which requests were in flight when an upstream crashed.

A connection that breaks is no crash: answers are lost and connections are reset while
the upstream lives. A request is accused only when its upstream is out of reach, gone
or started anew soon after.
"""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

from .quarantines import CrashId

__all__ = ["CrashWatch"]

WATCH_TIME = timedelta(seconds=3)
"""How long after a broken send its upstream is watched. One that crashes refuses
connections at once and writes no more records; its next start is seconds later."""
WATCHED_SENDS = 2_000
"""Broken sends that are remembered; more come only when everything breaks."""


@dataclass(frozen=True, slots=True)
class _Broken:
    fingerprint: int
    boot: str
    at: timedelta


class CrashWatch:
    """The sends that broke lately, by upstream."""

    def __init__(self) -> None:
        self._broken: dict[str, list[_Broken]] = defaultdict(list)
        self._count = 0

    def note_broken(
        self, upstream: str, boot: str, fingerprint: int, now: timedelta
    ) -> None:
        """Note a send whose connection ended without a whole answer.

        `boot` tells the starts of an upstream apart.
        """
        if self._count >= WATCHED_SENDS:
            self._broken.clear()
            self._count = 0
        self._broken[upstream].append(_Broken(fingerprint, boot, now))
        self._count += 1

    def note_lost(
        self, upstream: str, now: timedelta
    ) -> tuple[CrashId, set[int]] | None:
        """Note that an upstream is out of reach, gone or started anew.

        Returns the crash with the fingerprints that are accused of it, if any.
        """
        broken = self._broken.pop(upstream, [])
        self._count -= len(broken)
        late = [each for each in broken if now - each.at <= WATCH_TIME]
        if not late:
            return None
        crash = CrashId(upstream, late[0].boot)
        return crash, {each.fingerprint for each in late}
