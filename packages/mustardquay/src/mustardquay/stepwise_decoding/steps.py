"""Steps: work that pauses often, so that it can be run a slice of time at once."""

from collections.abc import Generator
from datetime import timedelta
from typing import TypeAlias, TypeVar

from mustardquay.clocks import Clock

__all__ = ["Steps", "run_all", "run_slice"]

Result = TypeVar("Result")

Steps: TypeAlias = Generator[None, None, Result]
"""Work that yields after each step of a fraction of a millisecond."""


def run_slice(
    steps: Steps[Result], clock: Clock, limit: timedelta
) -> StopIteration | None:
    """Run steps until `limit` is over; return the end, with its result, if reached.

    >>> from mustardquay.clocks import SystemClock
    >>> def count():
    ...     yield
    ...     return 2
    >>> run_slice(count(), SystemClock(), timedelta(seconds=9)).value
    2
    >>> run_slice(count(), SystemClock(), timedelta()) is None
    True
    """
    until = clock.monotonic() + limit
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end
        if clock.monotonic() >= until:
            return None


def run_all(steps: Steps[Result]) -> Result:
    """Run all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
