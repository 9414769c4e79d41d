"""Engine switches: fault injection and counters of an engine stand-in."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from .states import OrderCounters

__all__ = ["EngineCounters", "EngineFaults"]


@dataclass(slots=True)
class EngineFaults:
    """Fault switches of an engine."""

    crash_marker: str = ""
    """A prompt with this text crashes the engine."""
    freeze_streams: bool = False
    """No request gets another token until the switch is off."""
    drop_after: int = 0
    """Close a request's connection after this many tokens; 0 for never."""
    drops: int = 0
    """Number of requests that `drop_after` still applies to."""
    refuse: bool = False
    """Generations are answered with 503 and not run."""
    ignore_fences: bool = False
    """Execute orders with a stale fencing number too."""
    forget_fence: bool = False
    """A crash resets the highest fencing number seen."""
    slow_factor: float = 1.0
    """Factor on the duration of every step."""
    report_lag: timedelta = timedelta()
    """Age of the load reports, and delay of the cache events."""
    lost_events: float = 0.0
    """Fraction of cache events that are never published."""


@dataclass(slots=True)
class EngineCounters:
    """Counters of an engine."""

    runs_by_request: Counter[str] = field(default_factory=Counter)
    """Generations started, by the value of `X-Request-Id`."""
    runs_by_prompt: Counter[int] = field(default_factory=Counter)
    """Generations started, by `answers.hash_prompt`."""
    steps: int = 0
    tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    """Generations ended by a cancel, or because the caller disconnected."""
    cut_by_change: int = 0
    """Generations interrupted by an order that made the engine unavailable."""
    crashes: int = 0
    orders: OrderCounters = field(default_factory=OrderCounters)
