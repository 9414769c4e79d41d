"""Which records of crashes a gateway tells others next, the gravest first.

Answers the load of a crash with many requests in flight, or of many crashes at a time:
each of these requests becomes a record, and the one that must be refused is among them.
"""

from collections.abc import Callable

__all__ = ["CrashNews"]

REPEATS = 3
"""Times that a changed record is told; of datagrams, a few in a hundred may be lost."""


class CrashNews:
    """The changed records that are still to be told, by fingerprint.

    >>> news = CrashNews()
    >>> for each in (1, 2, 3):
    ...     news.add(each)
    >>> news.take(2, lambda each: 3 if each == 3 else 1)
    [3, 1]
    >>> news.take(2, lambda each: 3 if each == 3 else 1)
    [2, 3]
    """

    def __init__(self) -> None:
        self._told: dict[int, int] = {}
        """How often each record has been told since its last change."""

    def __bool__(self) -> bool:
        """Return whether a record is still to be told."""
        return bool(self._told)

    def add(self, fingerprint: int) -> None:
        """Note a record that has changed."""
        self._told[fingerprint] = 0

    def take(self, limit: int, count_crashes: Callable[[int], int]) -> list[int]:
        """Return the fingerprints to tell now, at most `limit`.

        Those told least come first, so that each is told once before any is repeated,
        and among them those with the most crashes.
        """
        order = sorted(
            self._told, key=lambda each: (self._told[each], -count_crashes(each))
        )
        chosen = order[:limit]
        for each in chosen:
            self._told[each] += 1
            if self._told[each] >= REPEATS:
                del self._told[each]
        return chosen
