"""Decision logic of the mustardquay serving system, free of I/O."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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

_MODULES = {
    "clocks": ("Clock", "SystemClock", "VirtualClock"),
    "contracts": ("Contract", "Lateness"),
    "errors": ("MustardquayError", "Reason", "Refusal"),
    "events": ("Event", "EventRing", "HybridClock", "Stamp"),
    "outcomes": ("Outcome",),
    "works": ("Role", "UpstreamView", "Work"),
}
_PLACES = {name: module for module, names in _MODULES.items() for name in names}


def __getattr__(name: str) -> Any:
    # Imported on first access: every process imports this package to reach its
    # modules, and a gateway, for one, needs neither contracts nor works.
    if name not in _PLACES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{_PLACES[name]}", __name__), name)
