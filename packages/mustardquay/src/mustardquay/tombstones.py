"""Tombstones: attempts that an agent has affirmed it never started and never will.

An entry that lost its link asks over a new one whether an attempt was started. If
not, the agent writes a tombstone and affirms it, and the entry may say `not-run`.
The frame of the attempt may still be on its way; it must never be run. Three
guards, in the order in which they work:

1. The entry gives its links rising numbers, and an agent that accepts a link closes
   the entry's older ones and reads nothing more from them. A frame on an older link
   is lost with it.
2. A frame that was read already, and waits inside the agent, meets the tombstone.
3. An agent that restarted has another incarnation and refuses frames that name the
   old one, so that tombstones need not outlive their process.

So a tombstone is needed only while a frame can pass through the process. Its
retention is a generous multiple of that, in time during which the process ran: an
agent that was paused for an hour finds its tombstones as old as before, though its
socket may hold frames from before the pause.
"""

from collections import OrderedDict
from collections.abc import Hashable
from datetime import timedelta

__all__ = ["Tombstones"]


class Tombstones:
    """The tombstones of one agent incarnation, bounded in number and time."""

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
        self._buried: OrderedDict[Hashable, timedelta] = OrderedDict()

    def __len__(self) -> int:
        return len(self._buried)

    def bury(self, key: Hashable, now: timedelta) -> bool:
        """Keep a tombstone; False when there is no room to promise it.

        Without room the agent must not affirm: the attempt's outcome is unknown.
        No tombstone is dropped early to make room for another.
        """
        self.tick(now)
        if key not in self._buried and len(self._buried) >= self._capacity:
            return False
        self._buried[key] = self._age
        self._buried.move_to_end(key)
        return True

    def holds(self, key: Hashable, now: timedelta) -> bool:
        """Return whether the attempt must not be started."""
        self.tick(now)
        return key in self._buried

    def tick(self, now: timedelta) -> None:
        """Count time that the process ran; call it at least once a `step`.

        A gap above `step` was a pause, in which frames stood still as well: it
        counts as one step, or a tombstone would expire before a frame that the
        socket kept through the pause.
        """
        elapsed = max(now - self._last, timedelta())
        self._last = max(now, self._last)
        self._age += min(elapsed, self._step)
        while self._buried:
            key, buried = next(iter(self._buried.items()))
            if self._age - buried < self._retention:
                break
            del self._buried[key]
