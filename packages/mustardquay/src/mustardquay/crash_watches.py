"""Crash watches: which requests were in flight when an upstream crashed.

A broken connection alone isn't a crash: answers are lost and connections are reset
while the upstream is alive. A request is blamed only if its upstream is unreachable,
removed or restarted shortly after.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Generic, TypeVar

from .quarantines import CrashId

__all__ = ["CrashWatch", "UnblamedReason"]

Suspect = TypeVar("Suspect", bound=Hashable)
"""What a crash is blamed on: the fingerprint of a request, or a part of its prompt."""

WATCH_TIME = timedelta(seconds=5)
"""How long after a broken send its upstream is watched. One that crashes refuses
connections at once as a rule; the list shows it after three heartbeats without one."""
ENDED_WATCH_TIME = timedelta(seconds=1)
"""How long the upstream of a send that was ended here is watched. Callers may leave at
any time, so that only the upstream's end right after it says something."""
MAX_WATCHED_SENDS = 2_000
"""Maximum number of recorded broken sends; exceeded only if everything fails."""
MAX_LOST_UPSTREAMS = 1_000
EVICTED_SHARE = 10
"""Part of the sends that is dropped at a time without room: one in so many."""


class UnblamedReason(StrEnum):
    """Why a broken send is no longer watched, though no crash was blamed on it."""

    EXPIRED = "expired"
    """It broke longer before its upstream was found lost than it is watched."""
    EVICTED = "evicted"
    """There was no room for it."""


@dataclass(frozen=True, slots=True)
class _BrokenSend(Generic[Suspect]):
    suspect: Suspect
    boot: str
    at: timedelta
    watch_time: timedelta

    def is_watched(self, now: timedelta) -> bool:
        return now - self.at <= self.watch_time


class CrashWatch(Generic[Suspect]):
    """The recently broken sends, by upstream."""

    def __init__(
        self,
        capacity: int = MAX_WATCHED_SENDS,
        note_unblamed: Callable[[str, UnblamedReason, int], None] = (
            lambda upstream, reason, sends: None
        ),
    ) -> None:
        """Take `note_unblamed`, which gets the number of sends of an upstream."""
        self._capacity = capacity
        self._note_unblamed = note_unblamed
        self._broken: dict[str, list[_BrokenSend[Suspect]]] = defaultdict(list)
        self._count = 0
        self._lost_at: OrderedDict[str, timedelta] = OrderedDict()
        """When upstreams were last found lost; the newest are kept."""

    def was_lost_since(self, upstream: str, begun_at: timedelta) -> bool:
        """Return whether an upstream was found lost after a send began."""
        lost_at = self._lost_at.get(upstream)
        return lost_at is not None and begun_at <= lost_at

    def note_broken(
        self,
        upstream: str,
        boot: str,
        suspect: Suspect,
        now: timedelta,
        watch_time: timedelta = WATCH_TIME,
    ) -> None:
        """Record a send whose connection ended without a complete answer.

        `boot` identifies the start of the upstream; `watch_time` is how long the send
        may be blamed.
        """
        if self._count >= self._capacity:
            self._make_room(now)
        self._broken[upstream].append(_BrokenSend(suspect, boot, now, watch_time))
        self._count += 1

    def _make_room(self, now: timedelta) -> None:
        """Drop what is watched no longer, and without any of it the oldest sends."""
        if self._retain(lambda each: each.is_watched(now)):
            return
        ages = sorted(each.at for sends in self._broken.values() for each in sends)
        newest_dropped = ages[max(len(ages) // EVICTED_SHARE, 1) - 1]
        dropped = self._retain(lambda each: each.at > newest_dropped)
        for upstream, count in dropped.items():
            self._note_unblamed(upstream, UnblamedReason.EVICTED, count)

    def _retain(
        self, is_kept: Callable[[_BrokenSend[Suspect]], bool]
    ) -> Mapping[str, int]:
        """Drop the other sends; returns how many, by upstream."""
        dropped = {}
        for upstream, sends in list(self._broken.items()):
            kept = [each for each in sends if is_kept(each)]
            if len(kept) < len(sends):
                dropped[upstream] = len(sends) - len(kept)
                self._broken[upstream] = kept
            if not kept:
                del self._broken[upstream]
        self._count -= sum(dropped.values())
        return dropped

    def _note_lost_at(self, upstream: str, now: timedelta) -> None:
        self._lost_at[upstream] = now
        self._lost_at.move_to_end(upstream)
        if len(self._lost_at) > MAX_LOST_UPSTREAMS:
            self._lost_at.popitem(last=False)

    def note_lost(
        self, upstream: str, now: timedelta
    ) -> tuple[CrashId, set[Suspect]] | None:
        """Record that an upstream is unreachable, removed or restarted.

        Returns the crash with the suspects of the sends that broke within
        their watch time before it, or None if there are none.
        """
        self._note_lost_at(upstream, now)
        broken = self._broken.pop(upstream, [])
        self._count -= len(broken)
        recent = [each for each in broken if each.is_watched(now)]
        if expired := sum(_has_just_expired(each, now) for each in broken):
            self._note_unblamed(upstream, UnblamedReason.EXPIRED, expired)
        if not recent:
            return None
        crash = CrashId(upstream, recent[0].boot)
        return crash, {each.suspect for each in recent}


def _has_just_expired(send: _BrokenSend, now: timedelta) -> bool:
    """Return whether a send that its upstream broke was watched until a moment ago."""
    was_cut = send.watch_time == WATCH_TIME
    return was_cut and WATCH_TIME < now - send.at <= WATCH_TIME * 2
