"""Decisions of the mustardquay serving system: data in, data out, no I/O."""

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
    # Loaded when first asked for: each process imports this package for the modules
    # in it, and a gateway uses no contracts and works.
    if name not in _PLACES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{_PLACES[name]}", __name__), name)
