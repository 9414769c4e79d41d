"""Capacity of upstreams at this moment, from their load reports and their answers."""

from .completion_times import choose_shortest, estimate_completion, estimate_wait
from .estimates import MAX_NOTICES, CapacityEstimates
from .load_reports import CapacityNotice, LoadReport

__all__ = [
    "MAX_NOTICES",
    "CapacityEstimates",
    "CapacityNotice",
    "LoadReport",
    "choose_shortest",
    "estimate_completion",
    "estimate_wait",
]
