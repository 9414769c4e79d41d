"""How much a gateway holds for slow readers, and what it does near its limit."""

from .closings import STALL_TIME, Closing, ClosingReason, find_closing
from .ledgers import HeldBytes, Ledger
from .limits import (
    COUNTED_SIZE,
    MEGABYTE,
    READ_SIZE,
    MemoryLimits,
    find_limits,
)
from .process_memory import ProcessMemory
from .refusals import RefusalSpan, draw_retry_after

__all__ = [
    "COUNTED_SIZE",
    "MEGABYTE",
    "READ_SIZE",
    "STALL_TIME",
    "Closing",
    "ClosingReason",
    "HeldBytes",
    "Ledger",
    "MemoryLimits",
    "ProcessMemory",
    "RefusalSpan",
    "draw_retry_after",
    "find_closing",
    "find_limits",
]
