"""Route times: the longest that requests have lately taken, by their route.

A gateway that stops asks whether a request surely ends in time. The route's timeout
answers that too, but it is many times what requests usually take.
"""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["RouteTimes"]

WINDOW = timedelta(seconds=20)
"""Answers of the present window and the one before it count: some hundred on a route
that is in use, and all later than the last change of what upstreams can do."""
LEAST_SAMPLES = 10
"""Answers below which nothing is known: the longest of a few says little."""
HEADROOM = 2.0
"""Times the longest that was seen: upstreams that others load take longer soon."""


@dataclass(slots=True)
class _Window:
    """The longest of the answers of one window, in seconds."""

    samples: int = 0
    first: float = 0.0
    """To the first part of the answer."""
    for_token: float = 0.0
    """From there to the end, for each token that might have been generated."""

    def note(self, first: float, for_token: float) -> None:
        self.samples += 1
        self.first = max(self.first, first)
        self.for_token = max(self.for_token, for_token)


@dataclass(slots=True)
class _Recent:
    began_at: timedelta
    present: _Window = field(default_factory=_Window)
    before: _Window = field(default_factory=_Window)

    def turn(self, now: timedelta) -> None:
        """Begin a new window when the present one is over."""
        passed = (now - self.began_at) // WINDOW
        if passed == 0:
            return
        self.before = self.present if passed == 1 else _Window()
        self.present = _Window()
        self.began_at += passed * WINDOW


@dataclass(slots=True)
class RouteTimes:
    """The longest times of all routes."""

    _routes: dict[str, _Recent] = field(default_factory=dict)

    def note(
        self,
        route: str,
        now: timedelta,
        first: timedelta,
        rest: timedelta = timedelta(),
        tokens: int = 0,
    ) -> None:
        """Take in a whole answer.

        Its first part came after `first`, its end `rest` later; up to `tokens` might
        have been generated.
        """
        recent = self._routes.setdefault(route, _Recent(now))
        recent.turn(now)
        for_token = rest.total_seconds() / max(tokens, 1)
        recent.present.note(first.total_seconds(), for_token)

    def find_longest(
        self, route: str, now: timedelta, tokens: int = 0
    ) -> timedelta | None:
        """Return the time in which a request surely ends; None if too few were seen."""
        recent = self._routes.get(route)
        if recent is None:
            return None
        recent.turn(now)
        windows = (recent.present, recent.before)
        if sum(each.samples for each in windows) < LEAST_SAMPLES:
            return None
        first = max(each.first for each in windows)
        for_token = max(each.for_token for each in windows)
        return timedelta(seconds=HEADROOM * (first + for_token * max(tokens, 1)))
