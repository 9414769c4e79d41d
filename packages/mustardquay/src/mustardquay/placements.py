"""Placements: which engine reads a prompt, and which one generates.

Answers the load of long prompts with short answers beside short prompts with long
answers, on engines whose caches together hold only a part of the shared prompts. The
engine with the earliest expected first token wins: the work ahead, the tokens that it
does not hold, its speed at reading. Of engines that expect the same, rendezvous
hashing (Thaler and Ravishankar, 1998) names one, so that a part that nobody holds yet
is read at one place although several processes choose at the same moment.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from xxhash import xxh3_64_intdigest

from .engine_books import EngineBooks, HashedPart
from .requests import PromptTraits
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["Placement", "choose_engines"]

DECODE_SLOWDOWN = 2.0
"""How many times longer an engine that generates takes to read a prompt."""
TOKEN_SECONDS = 0.0009
"""A generated token at a middling batch: 0.64 ms a step and some prompt between."""
SWITCH_SECONDS = 0.004
"""What reading at one engine and generating at another takes more: a round trip
between availability zones and the copy."""
SHORT_READ = 1_024
"""Tokens up to which an engine that generates reads a prompt itself: two pieces
between its steps, against a turn in the queue of an engine that reads."""
DISTURBANCE = 0.03
"""Seconds that reading for a second costs each stream that runs beside it."""
NEAR_SECONDS = 0.004
"""By how much the rendezvous choice goes before others that expect the same."""
FAILURE_SECONDS = 0.2
"""What a send to an engine that always fails is taken to cost."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a generation goes."""

    decoder: UpstreamRecord
    prefiller: UpstreamRecord | None
    """Reads the prompt first; None when the decoder reads it itself."""
    read_seconds: float
    """Expected reading at the engine that reads."""
    wait_seconds: float
    """Expected time until it begins to read."""
    cost: float
    """Seconds: the wait, the reading, and what it does to others."""

    @property
    def reader(self) -> UpstreamRecord:
        """Return the engine that reads the prompt."""
        return self.prefiller or self.decoder


def choose_engines(
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    engines: Sequence[UpstreamRecord],
    books: EngineBooks,
    now: timedelta,
    avoid: Iterable[str] = (),
) -> Placement | None:
    """Return the placement that costs least, or None without a usable engine.

    `parts` are the hashed parts of the prompt.
    """
    usable = _list_usable(engines, books, now, set(avoid))
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    if not decoders:
        return None
    best = min(
        (_weigh_alone(engine, prompt, parts, books) for engine in decoders),
        key=_get_cost,
    )
    prefillers = [engine for engine in usable if engine.stage is Stage.PREFILL]
    if not prefillers or _is_short(prompt, parts, best.decoder, books):
        return best
    decoder = min(decoders, key=lambda engine: _weigh_decoder(engine, books))
    favourite = _rank_first(parts, prefillers)
    for engine in prefillers:
        placement = _weigh_pair(engine, decoder, prompt, parts, books, favourite)
        if placement.cost < best.cost:
            best = placement
    return best


def _list_usable(
    engines: Sequence[UpstreamRecord],
    books: EngineBooks,
    now: timedelta,
    avoided: set[str],
) -> list[UpstreamRecord]:
    """Return the engines that may be chosen, ejected ones only for want of others."""
    usable = [engine for engine in engines if engine.id not in avoided]
    healthy = [
        engine for engine in usable if not books.loads.get(engine.id).is_ejected(now)
    ]
    if any(engine.stage is not Stage.PREFILL for engine in healthy):
        return healthy
    return usable


def _get_cost(placement: Placement) -> float:
    return placement.cost


def _is_short(
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    engine: UpstreamRecord,
    books: EngineBooks,
) -> bool:
    cached = books.prefixes.count_cached(engine.id, parts)
    return prompt.prompt_tokens - cached <= SHORT_READ


def _rank_first(parts: Sequence[HashedPart], engines: Sequence[UpstreamRecord]) -> str:
    """Return the rendezvous choice of the longest shared prefix."""
    shared = parts[:-1]
    if not shared:
        return ""
    seed = shared[-1][0]
    return max(
        engines,
        key=lambda engine: xxh3_64_intdigest(engine.address.encode(), seed=seed),
    ).id


def _expect_read(
    engine: UpstreamRecord,
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    books: EngineBooks,
) -> float:
    cached = books.prefixes.count_cached(engine.id, parts)
    new = max(prompt.prompt_tokens - cached, 1)
    return books.speeds.read_seconds(new, cached)


def _weigh_alone(
    engine: UpstreamRecord,
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    books: EngineBooks,
) -> Placement:
    read = _expect_read(engine, prompt, parts, books) * DECODE_SLOWDOWN
    wait = books.works.sum_seconds(engine.id)
    running = books.works.sum_running(engine.id)
    cost = wait + read * (1 + DISTURBANCE * running) + _penalty(engine, books)
    cost += TOKEN_SECONDS * running
    return Placement(engine, None, read, wait, cost)


def _weigh_pair(
    engine: UpstreamRecord,
    decoder: UpstreamRecord,
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    books: EngineBooks,
    favourite: str,
) -> Placement:
    read = _expect_read(engine, prompt, parts, books)
    wait = books.works.sum_seconds(engine.id)
    cost = wait + read + SWITCH_SECONDS + _penalty(engine, books)
    if engine.id != favourite:
        cost += NEAR_SECONDS
    return Placement(decoder, engine, read, wait, cost)


def _weigh_decoder(engine: UpstreamRecord, books: EngineBooks) -> float:
    running = books.works.sum_running(engine.id)
    wait = books.works.sum_seconds(engine.id)
    return wait + TOKEN_SECONDS * running + _penalty(engine, books)


def _penalty(engine: UpstreamRecord, books: EngineBooks) -> float:
    """Return the seconds that failures of an engine weigh."""
    return FAILURE_SECONDS * books.loads.get(engine.id).failure_rate
