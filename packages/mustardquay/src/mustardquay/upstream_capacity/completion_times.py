"""Completion times: how long a plain request takes at an upstream, its queue included.

Designed for short calls to a few upstreams with several slots each whose speeds differ,
sent by many gateways that see the same reports at the same time.
"""

from collections.abc import Sequence
from math import exp
from random import Random
from typing import TypeVar

__all__ = ["choose_shortest", "estimate_completion", "estimate_wait"]

Candidate = TypeVar("Candidate")

PREFERENCE = 8.0
"""How strongly the shortest time is preferred: the chance halves with each 9 % more.
Differences below that are within the error of the times; an upstream that takes twice
as long is almost never chosen."""


def estimate_wait(queue: float, slots: int) -> float:
    """Return the expected time in a queue, in times of one request.

    >>> estimate_wait(2, 6), estimate_wait(8, 6)
    (0.0, 0.5)
    """
    slots = max(slots, 1)
    return max(queue + 1 - slots, 0.0) / slots


def estimate_completion(queue: float, slots: int, factor: float) -> float:
    """Return the expected time until a request is complete, in times at usual speed.

    `queue` is the number of requests at the upstream, `factor` how many times as long
    as usual work takes there.

    >>> estimate_completion(0, 6, 2.0)
    2.0
    """
    return factor * (1.0 + estimate_wait(queue, slots))


def choose_shortest(
    candidates: Sequence[tuple[Candidate, float]], random: Random
) -> Candidate:
    """Return one of the candidates with the shortest times, at random.

    Guards against gateways that all choose the same upstream by the same reports: its
    queue is long before the next report shows it (Mitzenmacher, "How useful is old
    information?", 2000).
    """
    shortest = min(seconds for _, seconds in candidates)
    weights = [exp(-PREFERENCE * (time / shortest - 1)) for _, time in candidates]
    chosen, _ = random.choices(candidates, weights)[0]
    return chosen
