"""Engine switches: how an engine stand-in can fail, and what it has seen."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from .states import OrderCounters

__all__ = ["EngineCounters", "EngineFaults"]


@dataclass(slots=True)
class EngineFaults:
    """Switches of an engine."""

    crash_marker: str = ""
    """A prompt with this text crashes the engine."""
    freeze_streams: bool = False
    """No request gets a further token until the switch is off."""
    drop_after: int = 0
    """Close a request's connection after so many tokens; 0 for never."""
    drops: int = 0
    """How many requests `drop_after` still hits."""
    refuse: bool = False
    """Generations answer 503 and aren't run."""
    ignore_fences: bool = False
    """Carry out orders that have an old fencing number too."""
    forget_fence: bool = False
    """A crash makes the engine forget the highest fencing number."""
    slow_factor: float = 1.0
    """Every step takes so many times as long."""
    report_lag: timedelta = timedelta()
    """Age of the load reports and delay of the cache events."""
    lost_events: float = 0.0
    """Part of the cache events that are never published."""


@dataclass(slots=True)
class EngineCounters:
    """What an engine has seen."""

    runs_by_request: Counter[str] = field(default_factory=Counter)
    """Generations begun, by the value of `X-Request-Id`."""
    runs_by_prompt: Counter[int] = field(default_factory=Counter)
    """Generations begun, by `answers.hash_prompt`."""
    steps: int = 0
    tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    """Generations ended by a cancel, or by a caller that went away."""
    cut_by_change: int = 0
    """Generations that an order took the engine away from."""
    crashes: int = 0
    orders: OrderCounters = field(default_factory=OrderCounters)
