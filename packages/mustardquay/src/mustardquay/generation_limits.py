"""Generation limits: which generations are refused, and when they should come back.

Answers bursts that ask for more than the engines can read. A long queue would make
all answers late, and a late answer is worth a third. So no more waits than can still
be answered in time; the others are told at once when to come back.
"""

from datetime import timedelta
from random import Random

from .placements import Placement
from .requests import PromptTraits
from .routing_tables import Route

__all__ = ["admits_generation", "draw_return"]

TARGET_SHARE = 0.85
"""Part of a route's target that waiting and the first event may fill; the rest is for
the reading of a usual prompt and the way to the caller."""
LEAST_WAIT_SHARE = 0.3
"""Part of the target that is always accepted as wait, also where the first event leaves
less: estimates are off by a prompt or two."""
LIGHT_READ_SHARE = 0.06
"""Part of the target: reading that delays others by less than their answers vary."""
LIGHT_SHARE = 0.1
"""Part of its time that a prompt of such a reading may wait: the tokens after it take
most of the rest."""
FULL_OCCUPANCY = 1.6
"""Part of an engine's places up to which short answers are sent there. Those beyond
its places wait, before long answers of a lower rank; some 40 are through in 0.2 s."""
LONG_OCCUPANCY = 1.2
"""The same for long answers, which hold their places for seconds. When few engines are
left to generate, short answers would wait for one of them until their deadline."""
LONG_ANSWER = 1_000
"""Limit of output tokens from which an answer is long, about 0.9 s of steps. By the
sheet's events of 52 steps, verdicts have up to some 300 and drafts 4,600 on average."""
EARLIEST_RETURN = timedelta(milliseconds=250)
"""Time in which the queue that was in the way is read, twice over."""
RETURN_SPREAD = timedelta(milliseconds=350)
"""Returns are drawn over this time, so that those refused together don't meet again.
Callers follow a hint of at most a third of the time that they have left."""


def admits_generation(
    route: Route, prompt: PromptTraits, placement: Placement, time_left: timedelta
) -> bool:
    """Return whether the answer is expected in time, or soon enough to be of use.

    What counts is the wait, not the reading: large prompts must not be refused more
    often than small ones. Only what is read in a moment waits longer: to refuse it
    makes room for nobody.
    """
    is_long = prompt.output_tokens >= LONG_ANSWER
    if placement.occupancy >= (LONG_OCCUPANCY if is_long else FULL_OCCUPANCY):
        return False
    target = route.latency_target.total_seconds()
    bound = max(
        TARGET_SHARE * target - placement.first_seconds, LEAST_WAIT_SHARE * target
    )
    if placement.read_seconds <= LIGHT_READ_SHARE * target:
        bound = max(bound, LIGHT_SHARE * time_left.total_seconds())
    return placement.wait_seconds <= bound


def draw_return(
    placement: Placement | None, time_left: timedelta, random: Random
) -> timedelta:
    """Return when a refused caller should come back."""
    wait = timedelta() if placement is None else _read_wait(placement)
    earliest = max(EARLIEST_RETURN, wait / 2)
    return min(earliest + RETURN_SPREAD * random.random(), max(time_left / 3, wait))


def _read_wait(placement: Placement) -> timedelta:
    return timedelta(seconds=placement.wait_seconds)
