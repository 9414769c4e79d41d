"""Store eras: which life of the platform's store an answer belongs to.

A store that comes back from a copy has lost what it acknowledged since the copy was
made, and gives out the same versions again for other changes. It numbers its lives:
each such return raises the era by one. Versions of two eras can't be compared.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["EraBook", "EraNews", "StorePosition"]


@dataclass(frozen=True, slots=True)
class StorePosition:
    """How far the changes of a store are known."""

    era: int
    """0 for a store that tells none."""
    version: int

    def follows_return(self, known: "StorePosition | None") -> bool:
        """Return whether the store came back from a copy after a known position."""
        return known is not None and self.era > known.era


class EraNews(StrEnum):
    """What the era of an answer says."""

    SAME = "same"
    NEW = "new"
    """The store has come back from a copy since the last answer."""
    OVER = "over"
    """The answer is older than that of a later era, and tells of nothing that is."""


@dataclass(slots=True)
class EraBook:
    """The newest era that any answer of the store has shown."""

    current: int | None = None
    """None before the first answer that tells one."""

    def take(self, era: int) -> EraNews:
        """Take in the era of an answer.

        >>> book = EraBook()
        >>> [book.take(era).value for era in (1, 1, 2, 1)]
        ['same', 'same', 'new', 'over']
        """
        known, self.current = self.current, max(era, self.current or 0)
        if known is None or era == known:
            return EraNews.SAME
        return EraNews.NEW if era > known else EraNews.OVER
