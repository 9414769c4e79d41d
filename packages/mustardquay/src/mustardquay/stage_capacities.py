"""Stage capacities: how much engines of different speed decode together.

Designed for engines on machines of different speed: a fast engine decodes as much as
two slow ones, and keeps the pauses of a stream where a slow one can't.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil, floor

from .upstream_lists import UpstreamRecord

__all__ = ["DecodeSpeed", "StageCapacities"]

MISSING_SHARE = 0.5
"""Capacity of an average engine that may be missing before an engine is changed: a
change makes one unavailable for 3 s."""
FITTING_SHARE = 0.5
"""Fraction of the wanted capacity that engines must have whose pauses fit. The rest of
the answers has one event, or tolerates a slot that is taken."""


@dataclass(frozen=True, slots=True)
class DecodeSpeed:
    """How fast an engine decodes lastingly."""

    factor: float = 1.0
    """How many times longer it takes than the mean engine."""
    is_fitting: bool = True
    """Whether its pauses stay within the longest one of each route, in a spell too."""


class StageCapacities:
    """The capacities of engines in units of the mean engine; 1 each if unknown."""

    def __init__(self, speeds: Mapping[str, DecodeSpeed] | None):
        self._speeds = speeds

    def get(self, engine: UpstreamRecord) -> DecodeSpeed:
        """Return the speed of an engine; that of the mean engine if unknown."""
        return (self._speeds or {}).get(engine.id, DecodeSpeed())

    def sum(self, engines: Iterable[UpstreamRecord]) -> float:
        """Return the capacity of engines together."""
        return sum(1 / self.get(engine).factor for engine in engines)

    def _count_spare(self, decoders: Iterable[UpstreamRecord]) -> int:
        """Return how many engines that keep the pauses don't decode yet.

        Guards against a plan that has more and more engines decode, although none of
        the others keeps the pauses, until none is left for prefill.
        """
        decoding = {engine.id for engine in decoders}
        speeds = (self._speeds or {}).items()
        return sum(speed.is_fitting and id not in decoding for id, speed in speeds)

    def count_missing(self, wanted: int, decoders: list[UpstreamRecord]) -> int:
        """Return how many engines are missing to decode; negative for a surplus.

        An engine is missing, too, if too few of those that decode keep the pauses.
        """
        if not self._speeds:
            return wanted - len(decoders)
        fitting = [each for each in decoders if self.get(each).is_fitting]
        lacking = FITTING_SHARE * wanted - self.sum(fitting)
        spare = self._count_spare(decoders)
        if lacking > 0 and spare:
            return min(ceil(lacking), spare)
        missing = wanted - self.sum(decoders)
        if missing > 0:
            return ceil(missing - MISSING_SHARE)
        slowest = max((self.get(each).factor for each in decoders), default=1.0)
        surplus = floor(-missing)
        return -surplus if -missing >= 1 / slowest else 0
