"""Load reports: what upstreams report about their load in the headers of answers.

Designed for upstreams whose speed and queue change many times a second: a gateway that
sends an upstream one request a second learns its state from the other gateways.
"""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["CapacityNotice", "LoadReport"]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an upstream at the time of an answer; None for an unknown figure."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    work_time: float | None = None
    """How many times as long work takes now as is usual for the upstream's machine."""

    @property
    def queue(self) -> int | None:
        """Return the requests at the upstream as far as known, None without a count."""
        if self.running is None and self.waiting is None:
            return None
        return (self.running or 0) + (self.waiting or 0)


@dataclass(frozen=True, slots=True)
class CapacityNotice:
    """The newest report that a gateway got from an upstream, for other gateways."""

    upstream: str
    running: int | None
    waiting: int | None
    work_time: float | None
    age: timedelta
    answers: int = 0
    """Answers of a plain upstream since the gateway's last notice about it."""
    answer_seconds: float = 0.0
    """Sum over these answers of the time that they would have taken without a queue at
    usual speed."""
