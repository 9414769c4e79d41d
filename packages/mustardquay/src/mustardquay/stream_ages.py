"""Stream ages: how long the streams of a service last, judging by those that run."""

from collections import defaultdict
from collections.abc import Hashable
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["StreamAges"]


@dataclass(slots=True)
class StreamAges:
    """When the running streams of this process began, by service."""

    _begun: defaultdict[str, dict[Hashable, timedelta]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def begin(self, service: str, stream: Hashable, now: timedelta) -> None:
        """Note a stream that begins."""
        self._begun[service][stream] = now

    def end(self, service: str, stream: Hashable) -> None:
        """Note a stream that has ended."""
        self._begun[service].pop(stream, None)

    def estimate_duration(self, service: str, now: timedelta) -> timedelta:
        """Return how long a stream lasts that is found running, 0 without any.

        At a random moment, half of it is over on average. While the load begins, only
        the part that could be seen so far counts.

        >>> ages = StreamAges()
        >>> for second in range(4):
        ...     ages.begin("llm", second, timedelta(seconds=second))
        >>> ages.estimate_duration("llm", timedelta(seconds=4))
        datetime.timedelta(seconds=5)
        """
        begun = self._begun[service].values()
        if not begun:
            return timedelta()
        ages = sum((now - at for at in begun), timedelta())
        return 2 * ages / len(begun)
