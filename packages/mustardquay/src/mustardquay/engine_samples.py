"""Engine samples: which of the engines that read are weighed for one prompt."""

from collections.abc import Callable, Sequence
from math import ceil
from random import Random

from .upstream_lists import UpstreamRecord

__all__ = ["Sample", "keep_all", "make_sample"]

LEAST_CHOICES = 2
"""Engines at random that are weighed to read, at least."""

Sample = Callable[[Sequence[UpstreamRecord]], Sequence[UpstreamRecord]]
"""Chooses some of the engines that read."""


def keep_all(engines: Sequence[UpstreamRecord]) -> Sequence[UpstreamRecord]:
    """Return all the engines."""
    return engines


def make_sample(random: Random, processes: int) -> Sample:
    """Return a choice of engines for one of so many processes that choose.

    Guards against processes that all send to the same engine, the one with the least
    work by news that are older than what has been sent since. Two at random are nearly
    as good as all where news are fresh, and better where they are old (Mitzenmacher,
    "How useful is old information?", 2000); one process alone knows all.
    """

    def sample(engines: Sequence[UpstreamRecord]) -> Sequence[UpstreamRecord]:
        size = max(LEAST_CHOICES, ceil(len(engines) / max(processes, 1)))
        return engines if size >= len(engines) else random.sample(engines, size)

    return sample
