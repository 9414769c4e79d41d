"""Notices: when a gateway tells others of which parts."""

from collections.abc import Callable, Iterable

__all__ = ["NoticeSchedule"]

SENDS = 3
"""Times that news of a part is sent: datagrams are lost."""


class NoticeSchedule:
    """The parts that other gateways are yet to be told of."""

    def __init__(self) -> None:
        self._left: dict[int, int] = {}
        """Sends that are left, by part."""

    def __bool__(self) -> bool:
        return bool(self._left)

    def note_news(self, parts: Iterable[int]) -> None:
        """Have news of parts sent."""
        for part in parts:
            self._left[part] = SENDS

    def repeat(self, parts: Iterable[int]) -> None:
        """Have parts sent once more, for gateways that did not hear the news."""
        for part in parts:
            self._left.setdefault(part, 1)

    def take(self, limit: int, count_crashes: Callable[[int], int]) -> list[int]:
        """Return the parts for the next datagram.

        Those told least come first, so that each is told once before any is repeated,
        and among them those with the most crashes.

        >>> schedule = NoticeSchedule()
        >>> schedule.note_news([1, 2, 3])
        >>> [schedule.take(2, lambda part: int(part == 3)) for _ in range(2)]
        [[3, 1], [2, 3]]
        """
        order = sorted(
            self._left, key=lambda part: (-self._left[part], -count_crashes(part))
        )
        ordered = order[:limit]
        for part in ordered:
            self._left[part] -= 1
            if not self._left[part]:
                del self._left[part]
        return ordered
