"""Records of parts, as gateways exchange them."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["PartRecord"]


@dataclass(frozen=True, slots=True)
class PartRecord:
    """What gateways saw of one part."""

    part: int
    crashed: frozenset[int]
    """Starts of engines that crashed while they wrote an answer on the part."""
    answered: frozenset[int]
    """Starts of engines that have written an answer on the part."""
    depth: int
    """Its position in prompts, from 0; the highest one that was seen."""
    has_crashed_apart: bool
    """Whether it crashed an engine without the refused parts that it had come with."""
    remaining: timedelta
    """Time until the record expires; a duration, as processes don't share a clock."""
