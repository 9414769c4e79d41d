"""Load reports: what upstreams report about their load in the headers of answers."""

from dataclasses import dataclass

__all__ = ["LoadReport"]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an upstream at the time of an answer; None for an unknown figure."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    work_time: float | None = None
    """How many times as long work takes now as is usual for the upstream's machine."""
