"""Who answers a request, from the first byte that was read to the last one written."""

from .closing_decisions import ClosingStep, Occasion, decide_step
from .connection_phases import ConnectionPhase, RequestOwnership
from .final_passes import PASS_INTERVAL, FinalPasses
from .running_clocks import RunningClock

__all__ = [
    "PASS_INTERVAL",
    "ClosingStep",
    "ConnectionPhase",
    "FinalPasses",
    "Occasion",
    "RequestOwnership",
    "RunningClock",
    "decide_step",
]
