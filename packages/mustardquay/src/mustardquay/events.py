"""Events: one timeline across all processes, ordered by hybrid logical clocks.

Source of the clock: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .clocks import Clock

__all__ = ["Event", "EventRing", "HybridClock", "Stamp", "select_events"]


class Stamp(NamedTuple):
    """A hybrid logical timestamp; a cause is always ordered before its effect."""

    physical: int
    """Microseconds since 1970 in UTC."""
    logical: int
    """Counter that orders stamps with the same physical part."""


class HybridClock:
    """Gives increasing stamps, each later than every stamp received before."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local or send event."""
        physical = self._read_physical()
        if physical > self._last.physical:
            self._last = Stamp(physical, 0)
        else:
            self._last = Stamp(self._last.physical, self._last.logical + 1)
        return self._last

    def merge(self, received: Stamp) -> None:
        """Advance past a stamp that was received with a frame."""
        if received > self._last:
            self._last = received

    def _read_physical(self) -> int:
        return int(self._clock.now().timestamp() * 1_000_000)


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened in one process."""

    stamp: Stamp
    process: str
    kind: str
    """A dotted name, subject before verb, such as `attempt.sent`."""
    request: str = ""
    customer: str = ""
    upstream: str = ""
    details: Mapping[str, Any] = field(default_factory=dict)


class EventRing:
    """Keeps the newest events of one process in bounded memory."""

    def __init__(
        self,
        process: str,
        clock: HybridClock,
        capacity: int = 10_000,
        write: Callable[[Event], None] | None = None,
    ):
        self._process = process
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=capacity)
        self._write = write

    @property
    def clock(self) -> HybridClock:
        """Return the clock that stamps the events."""
        return self._clock

    def record(
        self,
        kind: str,
        request: str = "",
        customer: str = "",
        upstream: str = "",
        **details: Any,
    ) -> Event:
        """Stamp an event, store it and pass it to the log writer."""
        stamp = self._clock.tick()
        event = Event(stamp, self._process, kind, request, customer, upstream, details)
        self._events.append(event)
        if self._write is not None:
            self._write(event)
        return event

    def list_events(self) -> list[Event]:
        """Return the stored events, oldest first."""
        return list(self._events)


def select_events(
    events: Iterable[Event],
    request: str = "",
    customer: str = "",
    upstream: str = "",
    kind: str = "",
) -> list[Event]:
    """Return the events that match all given filters, ordered by stamp.

    `kind` also matches the kinds below it: `attempt` matches `attempt.sent`.
    """
    chosen = [
        event
        for event in events
        if (not request or event.request == request)
        and (not customer or event.customer == customer)
        and (not upstream or event.upstream == upstream)
        and (not kind or event.kind == kind or event.kind.startswith(kind + "."))
    ]
    return sorted(chosen, key=lambda event: (event.stamp, event.process))
