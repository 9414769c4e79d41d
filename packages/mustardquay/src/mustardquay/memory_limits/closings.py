"""Closings: which connection of a caller is closed, and why.

Guards against callers that have stopped reading, or sending, while they hold what
others need. A connection that has made progress within `STALL_TIME` is never closed.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from .ledgers import HeldBytes, Ledger
from .limits import MemoryLimits

__all__ = ["STALL_TIME", "Closing", "ClosingReason", "find_closing"]

STALL_TIME = timedelta(seconds=3)
"""Time without a byte after which a caller counts as stalled. TCP repeats a lost packet
after 0.2, 0.6 and 1.4 s, and sent bytes count as lost after 3 s at upstreams too."""
REFUSAL_LIMIT = timedelta(seconds=1)
"""Time of refusals after which stalled connections are closed below the level of
closings too. New requests would otherwise be refused until these have ended."""


class ClosingReason(StrEnum):
    """Why a connection is closed."""

    MEMORY = "memory"
    """The process is near its limit."""
    UNREAD = "unread"
    """Its caller has stopped reading, and its deadline is over."""


@dataclass(frozen=True, slots=True)
class Closing:
    """A connection to close."""

    held: HeldBytes
    reason: ClosingReason


def find_closing(
    ledger: Ledger,
    limits: MemoryLimits,
    refused_for: timedelta,
    now: timedelta,
    is_closable: Callable[[HeldBytes], bool] = lambda held: True,
) -> Closing | None:
    """Return the connection to close now, if there is one.

    Without need, only a connection whose caller is over its deadline is closed. Near
    the limit it is the one with the largest product of held bytes and stall time.
    """
    stalled = [
        each
        for each in ledger.holding
        if each.measure_stall(now) >= STALL_TIME and is_closable(each)
    ]
    over = [each for each in stalled if _is_over(each, now)]
    if over:
        return Closing(_find_worst(over, now), ClosingReason.UNREAD)
    is_refusing = refused_for >= REFUSAL_LIMIT
    if stalled and (is_refusing or ledger.total >= limits.close_level):
        return Closing(_find_worst(stalled, now), ClosingReason.MEMORY)
    return None


def _is_over(held: HeldBytes, now: timedelta) -> bool:
    return held.waiting > 0 and held.deadline is not None and held.deadline <= now


def _find_worst(stalled: Iterable[HeldBytes], now: timedelta) -> HeldBytes:
    return max(
        stalled, key=lambda each: each.total * each.measure_stall(now).total_seconds()
    )
