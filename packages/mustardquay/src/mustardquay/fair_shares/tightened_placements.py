"""Tightened placements: generations that may use a part of the admissible wait only.

Handles overloaded engines: the limits of `generation_limits` decide on a placement that
is as much busier as the request's part of the wait is smaller.
"""

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Placements depend on digests, which contain uses.
    from ..placements import Placement

__all__ = ["tighten"]

ORDERED_PART = 0.5
"""Part of the admissible wait that goes by rank and share. Engines order their prefill
by rank themselves, and need a queue for the time between two digests."""


def tighten(placement: "Placement", factor: float) -> "Placement":
    """Return a placement that counts as busier, the smaller `factor` is.

    An engine with free slots stays one: only the part of its occupancy that is beyond
    them counts more.
    """
    if factor == 1.0:
        return placement
    factor = 1 - ORDERED_PART * (1 - factor)
    waiting = max(placement.occupancy - 1.0, 0.0)
    return replace(
        placement,
        wait_seconds=placement.wait_seconds / factor,
        occupancy=min(placement.occupancy, 1.0) + waiting / factor,
    )
