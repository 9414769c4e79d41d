"""Requests that differ in route or content, and whose callers wrote the same text.

A text that crashes upstreams may come as several requests: to another route, with other
parameters. Each of them alone would be suspected from nothing.
"""

from collections import defaultdict
from collections.abc import Collection

__all__ = ["TextSiblings"]


class TextSiblings:
    """The fingerprints of requests, by the key of their callers' text.

    >>> siblings = TextSiblings()
    >>> for fingerprint, text in ((1, 70), (2, 70), (3, 80)):
    ...     siblings.note(fingerprint, text)
    >>> siblings.list_others(1), siblings.list_others(3), siblings.list_others(4)
    ({2}, set(), set())
    """

    def __init__(self, capacity: int = 4_000):
        """Keep `capacity` fingerprints before those that are not needed are dropped."""
        self._capacity = capacity
        self._texts: dict[int, int] = {}
        self._fingerprints: defaultdict[int, set[int]] = defaultdict(set)

    @property
    def is_full(self) -> bool:
        """Return whether fingerprints that are not needed should be dropped."""
        return len(self._texts) > self._capacity

    def note(self, fingerprint: int, text: int) -> None:
        """Note the text of a request; 0 stands for none."""
        if text and fingerprint not in self._texts:
            self._texts[fingerprint] = text
            self._fingerprints[text].add(fingerprint)

    def find_text(self, fingerprint: int) -> int:
        """Return the text of a request, 0 if it is not known."""
        return self._texts.get(fingerprint, 0)

    def list_others(self, fingerprint: int) -> set[int]:
        """Return the other fingerprints with the same text."""
        text = self._texts.get(fingerprint, 0)
        return self._fingerprints[text] - {fingerprint} if text else set()

    def retain(self, needed: Collection[int]) -> None:
        """Drop all fingerprints but those that are needed."""
        for fingerprint in self._texts.keys() - set(needed):
            text = self._texts.pop(fingerprint)
            self._fingerprints[text].discard(fingerprint)
            if not self._fingerprints[text]:
                del self._fingerprints[text]
