"""Simulated callers that read large answers with breaks, at one gateway."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from mustardquay.memory_limits import READ_SIZE, MemoryLimits

STEP = 0.1
"""Seconds of one step."""
PATIENCE = 5.0
"""Seconds after which an upstream aborts an answer of which nothing is read."""
RATE = 1_000_000
"""Bytes that a caller reads in a second, unless it has a break."""
LINK = 10_000_000
"""Bytes that an upstream sends in a second."""
BREAKS = (6.0, 10.0)
"""Least and longest break of a caller, in seconds; each has one."""
SIZES = (1_000_000, 8_000_000)


@dataclass
class Reading:
    """One answer, its caller and its upstream."""

    left: int
    """Bytes that the upstream has not sent."""
    break_from: float
    break_to: float
    held: int = 0
    unread_for: float = 0.0
    is_lost: bool = False


@dataclass(frozen=True)
class Outcome:
    """What became of all answers."""

    lost: int
    most_held: int


def play(find_bound: Callable[[int], int], callers: int, seed: int) -> Outcome:
    """Play all answers to their ends; `find_bound` gets the held bytes."""
    random = Random(seed)
    readings = []
    for _ in range(callers):
        begin = random.uniform(0, 1)
        end = begin + random.uniform(*BREAKS)
        readings.append(Reading(random.randint(*SIZES), begin, end))
    now, most = 0.0, 0
    while any(each.left or each.held for each in readings):
        for each in readings:
            step(each, readings, find_bound, now)
        most = max(most, sum(each.held for each in readings))
        now += STEP
    return Outcome(sum(each.is_lost for each in readings), most)


def step(
    reading: Reading,
    readings: list[Reading],
    find_bound: Callable[[int], int],
    now: float,
) -> None:
    """Play one step of one answer."""
    if not reading.break_from <= now < reading.break_to:
        reading.held -= min(reading.held, int(RATE * STEP))
    sent = 0
    while reading.left and sent < LINK * STEP:
        bound = find_bound(sum(each.held for each in readings))
        if reading.held and reading.held >= bound:
            break
        part = min(READ_SIZE, reading.left)
        reading.held += part
        reading.left -= part
        sent += part
    reading.unread_for = 0.0 if sent or not reading.left else reading.unread_for + STEP
    if reading.unread_for > PATIENCE:
        reading.is_lost = True
        reading.left = reading.held = 0


def find_fixed(limits: MemoryLimits) -> Callable[[int], int]:
    """Return the bound of another way: a fixed share of the budget."""
    return lambda held: limits.budget // 32


def find_none(held: int) -> int:
    """Return the bound without the setting: each part is written before the next."""
    return 0
