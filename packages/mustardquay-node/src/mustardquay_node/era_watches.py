"""Detection, from any of its answers, that the store was restored from a copy.

The store starts a new era, a higher number, each time it is restored.
"""

from collections.abc import Callable

from mustardquay.events import EventRing
from mustardquay.store_eras import EraChange, EraTracker

__all__ = ["EraWatch"]


class EraWatch:
    """Calls its listeners on the first answer of a new era, to whichever call."""

    def __init__(self, events: EventRing):
        self._events = events
        self._tracker = EraTracker()
        self._listeners: list[Callable[[], None]] = []
        self._unreadable = ""

    @property
    def era(self) -> int:
        """Return the newest era that the store has reported, 0 before the first."""
        return self._tracker.current or 0

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a function to call at each new era."""
        self._listeners.append(listener)

    def take(self, era: int | None) -> bool:
        """Note the era of an answer; return False if the answer is of a past era.

        `era` is None for an answer without one, as from stores that have no eras.
        """
        if era is None:
            return True
        before = self.era
        change = self._tracker.observe(era)
        if change is EraChange.OUTDATED:
            self._events.record("store.era_over", era=era, newest=before)
            return False
        if change is EraChange.NEW:
            self._events.record("store.era", era=era, before=before)
            for listener in self._listeners:
                listener()
        return True

    def note_unreadable(self, text: str) -> None:
        """Report an era that is not a number, once until its text changes."""
        if text != self._unreadable:
            self._unreadable = text
            self._events.record(
                "store.era_unreadable",
                text=text[:80],
                remedy="The platform must send a whole number; restores go undetected.",
            )
