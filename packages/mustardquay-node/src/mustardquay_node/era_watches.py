"""Era watches: notice on any answer that the store has come back from a copy."""

from collections.abc import Callable

from mustardquay.events import EventRing
from mustardquay.store_eras import EraChange, EraTracker

__all__ = ["EraWatch"]


class EraWatch:
    """Tells its listeners at the first answer of a new era, whatever call it is of."""

    def __init__(self, events: EventRing):
        self._events = events
        self._book = EraTracker()
        self._listeners: list[Callable[[], None]] = []
        self._unreadable = ""

    @property
    def era(self) -> int:
        """Return the newest era that the store has told, 0 before the first."""
        return self._book.current or 0

    def listen(self, listener: Callable[[], None]) -> None:
        """Have a function called at each new era."""
        self._listeners.append(listener)

    def take(self, era: int | None) -> bool:
        """Take in the era of an answer; returns whether the answer still counts.

        None for an answer that tells none, as those of stores that know no eras.
        """
        if era is None:
            return True
        before = self.era
        news = self._book.observe(era)
        if news is EraChange.OUTDATED:
            self._events.record("store.era_over", era=era, newest=before)
            return False
        if news is EraChange.NEW:
            self._events.record("store.era", era=era, before=before)
            for listener in self._listeners:
                listener()
        return True

    def note_unreadable(self, text: str) -> None:
        """Note an era that is no number; told once until it changes."""
        if text != self._unreadable:
            self._unreadable = text
            self._events.record(
                "store.era_unreadable",
                text=text[:80],
                remedy="The platform must send a whole number; its returns go unseen.",
            )
