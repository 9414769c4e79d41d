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

GENERATION_START = timedelta(milliseconds=95)
"""From the end of the wait to the first event at the caller: some 20 ms of reading,
50 steps of 0.9 to 1.2 ms that an engine gathers in an event, and the network."""
LEAST_WAIT = timedelta(milliseconds=60)
"""Wait that is always accepted, also where the target leaves less: estimates are off
by a prompt or two."""
LIGHT_READ = timedelta(milliseconds=12)
"""Reading that delays others by less than their answers vary: a prompt of some 1,000
tokens at an engine that generates."""
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
    if placement.read_seconds <= LIGHT_READ.total_seconds():
        return placement.wait_seconds <= LIGHT_SHARE * time_left.total_seconds()
    bound = max(route.latency_target - GENERATION_START, LEAST_WAIT)
    return placement.wait_seconds <= bound.total_seconds()


def draw_return(
    placement: Placement | None, time_left: timedelta, random: Random
) -> timedelta:
    """Return when a refused caller should come back."""
    wait = timedelta() if placement is None else _read_wait(placement)
    earliest = max(EARLIEST_RETURN, wait / 2)
    return min(earliest + RETURN_SPREAD * random.random(), max(time_left / 3, wait))


def _read_wait(placement: Placement) -> timedelta:
    return timedelta(seconds=placement.wait_seconds)
