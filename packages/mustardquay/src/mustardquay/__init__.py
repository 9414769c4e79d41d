"""Decisions of the mustardquay serving system: data in, data out, no I/O."""

from .clocks import Clock, SystemClock, VirtualClock
from .contracts import Contract, Lateness
from .errors import MustardquayError, Reason, Refusal
from .events import Event, EventRing, HybridClock, Stamp
from .outcomes import Outcome
from .works import Role, UpstreamView, Work

__all__ = [
    "Clock",
    "Contract",
    "Event",
    "EventRing",
    "HybridClock",
    "Lateness",
    "MustardquayError",
    "Outcome",
    "Reason",
    "Refusal",
    "Role",
    "Stamp",
    "SystemClock",
    "UpstreamView",
    "VirtualClock",
    "Work",
    "__version__",
]

__version__ = "0.1.0"
