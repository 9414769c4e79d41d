"""Which starts of engines have written answers on which parts, at one gateway."""

from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta

from .verdicts import MAX_STARTS

__all__ = ["AnsweredParts"]

ANSWER_PERIOD = timedelta(minutes=2)
"""Time for which an answer speaks for its part. Engines change with time: a part that
one software version bears may crash the next one."""
CAPACITY = 4000
"""Parts that are kept, the ones answered last: callers may invent parts without end."""


class AnsweredParts:
    """The starts that wrote answers on each part, the last `MAX_STARTS` of them."""

    def __init__(self, capacity: int = CAPACITY):
        self._capacity = capacity
        self._parts: OrderedDict[int, dict[int, timedelta]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts)

    def note(self, parts: Iterable[int], start: int, now: timedelta) -> None:
        """Note that a start has written an answer on a prompt with these parts."""
        for part in parts:
            starts = self._parts.setdefault(part, {})
            self._parts.move_to_end(part)
            starts.pop(start, None)
            starts[start] = now
            if len(starts) > MAX_STARTS:
                del starts[next(iter(starts))]
        while len(self._parts) > self._capacity:
            self._parts.popitem(last=False)

    def list_starts(self, part: int, now: timedelta) -> frozenset[int]:
        """Return the starts that wrote an answer on a part in the last two minutes."""
        starts = self._parts.get(part, {})
        return frozenset(
            start for start, at in starts.items() if now - at <= ANSWER_PERIOD
        )
