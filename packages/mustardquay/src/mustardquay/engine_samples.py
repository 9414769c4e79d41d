"""Engine samples: which prefill engines are compared for one prompt."""

from collections.abc import Callable, Sequence
from math import ceil
from random import Random

from .upstream_lists import UpstreamRecord

__all__ = ["Sample", "keep_all", "make_sample"]

MIN_CHOICES = 2
"""Minimum number of prefill engines drawn at random."""

Sample = Callable[[Sequence[UpstreamRecord]], Sequence[UpstreamRecord]]
"""Selects some of the prefill engines."""


def keep_all(engines: Sequence[UpstreamRecord]) -> Sequence[UpstreamRecord]:
    """Return all the engines."""
    return engines


def make_sample(random: Random, processes: int) -> Sample:
    """Return a random selection for one of `processes` processes that choose.

    Guards against all processes sending to the same engine, which had the least work
    according to reports older than what has been sent since. Comparing two random
    engines is nearly as good as comparing all with current reports, and better with old
    ones (Mitzenmacher, "How useful is old information?", 2000). A single process has
    exact data and compares all engines.
    """

    def sample(engines: Sequence[UpstreamRecord]) -> Sequence[UpstreamRecord]:
        size = max(MIN_CHOICES, ceil(len(engines) / max(processes, 1)))
        return engines if size >= len(engines) else random.sample(engines, size)

    return sample
