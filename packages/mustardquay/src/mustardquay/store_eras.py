"""Store eras: detection of restores of the platform's store.

A store that is restored from a copy has lost the writes it acknowledged since the copy
was made, and assigns the same versions again to other changes. Each restore therefore
raises the store's era by one. Versions of different eras can't be compared.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["EraTracker", "EraChange", "StorePosition"]


@dataclass(frozen=True, slots=True)
class StorePosition:
    """A position in the store's sequence of changes."""

    era: int
    """0 for a store that reports none."""
    version: int

    def follows_restore(self, known: "StorePosition | None") -> bool:
        """Return whether the store was restored from a copy after `known`."""
        return known is not None and self.era > known.era


class EraChange(StrEnum):
    """How the era of an answer compares with the newest one seen."""

    SAME = "same"
    NEW = "new"
    """The store was restored from a copy since the last answer."""
    OUTDATED = "over"
    """The answer is from before the last restore and must be ignored."""


@dataclass(slots=True)
class EraTracker:
    """The newest era in any answer of the store."""

    current: int | None = None
    """None before the first answer with an era."""

    def observe(self, era: int) -> EraChange:
        """Record the era of an answer.

        >>> tracker = EraTracker()
        >>> [tracker.observe(era).value for era in (1, 1, 2, 1)]
        ['same', 'same', 'new', 'over']
        """
        known, self.current = self.current, max(era, self.current or 0)
        if known is None or era == known:
            return EraChange.SAME
        return EraChange.NEW if era > known else EraChange.OUTDATED
