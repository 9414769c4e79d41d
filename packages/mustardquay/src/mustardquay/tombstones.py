"""Tombstones: attempts that an agent confirmed it has not started and never will.

An entry that lost its link asks over a new one whether an attempt was started. If
not, the agent writes a tombstone and confirms it, and the entry may report `not-run`.
The frame of the attempt may still be in transit; it must never be run. Three
safeguards, in the order in which they apply:

1. The entry numbers its links in ascending order, and an agent that accepts a link
   closes the entry's older ones and stops reading from them. A frame on an older link
   is lost with it.
2. A frame that was already read, and is queued inside the agent, is checked against
   the tombstones.
3. A restarted agent has a new incarnation and refuses frames for the old one, so that
   tombstones need not outlive their process.

So a tombstone is needed only while a frame can pass through the process. Its
retention is a generous multiple of that, counted in time during which the process
ran: after an agent was paused for an hour, its tombstones have not aged, because its
socket may hold frames from before the pause.
"""

from collections import OrderedDict
from collections.abc import Hashable
from datetime import timedelta

__all__ = ["Tombstones"]


class Tombstones:
    """The tombstones of one agent incarnation, bounded in number and retention."""

    def __init__(
        self,
        retention: timedelta = timedelta(minutes=5),
        step: timedelta = timedelta(seconds=1),
        capacity: int = 100_000,
        now: timedelta = timedelta(),
    ):
        self._retention = retention
        self._step = step
        self._capacity = capacity
        self._last = now
        self._age = timedelta()
        self._entries: OrderedDict[Hashable, timedelta] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: Hashable, now: timedelta) -> bool:
        """Store a tombstone; return False if the capacity is exhausted.

        The agent must then not confirm: the outcome of the attempt is unknown. No
        tombstone is dropped early to make room for another.
        """
        self.tick(now)
        if key not in self._entries and len(self._entries) >= self._capacity:
            return False
        self._entries[key] = self._age
        self._entries.move_to_end(key)
        return True

    def contains(self, key: Hashable, now: timedelta) -> bool:
        """Return whether the attempt has a tombstone and must not be started."""
        self.tick(now)
        return key in self._entries

    def tick(self, now: timedelta) -> None:
        """Advance the time that the process ran; call this at least once per `step`.

        A gap longer than `step` was a pause of the process, in which no frames were
        read either. It counts as one step; otherwise a tombstone could expire before
        a frame that the socket held during the pause is read.
        """
        elapsed = max(now - self._last, timedelta())
        self._last = max(now, self._last)
        self._age += min(elapsed, self._step)
        while self._entries:
            key, added_at = next(iter(self._entries.items()))
            if self._age - added_at < self._retention:
                break
            del self._entries[key]
