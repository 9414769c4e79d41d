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
FETCH_SECONDS = 0.012
"""What it is taken to cost to copy cached parts from another engine. The copy takes 1
to 2 ms; the rest stands for the parts that the copy displaces."""
FETCH_LEAST = 512
"""Tokens that a copy must save: reading them takes 2 ms."""
NEAR_SECONDS = 0.004
"""By how much the rendezvous choice goes before others that expect the same."""
ALONE_READING = timedelta(milliseconds=100)
"""Reading that may be outstanding at an engine that generates, where its gateway's
link is too slow to send a prompt twice. Streams whose engine reads all the time have
an event of 52 steps in some 260 ms; with 100 ms of reading in it, in 130 ms."""
SLOW_SENDING = timedelta(milliseconds=20)
"""Time to leave the process from which a long prompt may be sent once: one of 18 KB
takes 13 ms on an idle link of 13 Mbit/s, and 1.6 ms at 100."""
FAILURE_SECONDS = 0.2
"""What a send to an engine that always fails is taken to cost."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a generation goes."""

    decoder: UpstreamRecord
    prefiller: UpstreamRecord | None
    """Reads the prompt first; None when the decoder reads it itself."""
    holder: UpstreamRecord | None
    """Another engine, from which the reader first copies the parts that it lacks."""
    read_seconds: float
    """Expected reading at the engine that reads."""
    wait_seconds: float
    """Expected time until it begins to read."""
    occupancy: float
    """Part of the decoder's places that are taken."""
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
    sending: timedelta = timedelta(),
) -> Placement | None:
    """Return the placement that costs least, or None without a usable engine.

    `parts` are the hashed parts of the prompt, `sending` is how long the request takes
    to leave this process once.
    """
    usable = _list_usable(engines, books, now, set(avoid))
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    if not decoders:
        return None
    prefillers = [engine for engine in usable if engine.stage is Stage.PREFILL]
    alone = min(
        (_weigh_alone(engine, prompt, parts, books, now) for engine in decoders),
        key=_get_cost,
    )
    # An engine that reads a long prompt makes each of its steps some five times as
    # long, and all of its streams pause for too long. It reads short ones only, and
    # long ones for want of an engine that reads.
    if not prefillers or _is_short(prompt, parts, alone.decoder, books):
        return alone
    decoder = min(decoders, key=lambda engine: _weigh_decoder(engine, books, now))
    favourite = _rank_first(parts, prefillers)
    holder = _find_holder(parts, usable, books)
    pair = min(
        (
            _weigh_pair(engine, decoder, holder, prompt, parts, books, favourite, now)
            for engine in prefillers
        ),
        key=_get_cost,
    )
    return alone if _saves_sending(alone, pair, sending) else pair


def _saves_sending(alone: Placement, pair: Placement, sending: timedelta) -> bool:
    """Tell whether to send a long prompt once, to an engine that also generates.

    Guards against a slow link: sent twice, prompts leave later than engines could
    read them, and their callers wait for the link.
    """
    if sending < SLOW_SENDING:
        return False
    reading = alone.wait_seconds + alone.read_seconds
    if reading > ALONE_READING.total_seconds():
        return False
    return alone.cost < pair.cost + sending.total_seconds()


def _find_holder(
    parts: Sequence[HashedPart], engines: Sequence[UpstreamRecord], books: EngineBooks
) -> tuple[UpstreamRecord, int] | None:
    """Return the engine that is believed to hold most of the prompt, with how much."""
    held = [(books.prefixes.count_cached(each.id, parts), each) for each in engines]
    tokens, engine = max(held, key=lambda pair: pair[0])
    return (engine, tokens) if tokens >= FETCH_LEAST else None


def _list_usable(
    engines: Sequence[UpstreamRecord],
    books: EngineBooks,
    now: timedelta,
    avoided: set[str],
) -> list[UpstreamRecord]:
    """Return the engines that may be chosen, ejected ones only for want of others.

    One that has been out of reach for long is tried by a request now and then; all
    the others would wait for a connection in vain.
    """
    usable = [engine for engine in engines if engine.id not in avoided]
    healthy = [
        engine for engine in usable if not books.loads.get(engine.id).is_ejected(now)
    ]
    if any(engine.stage is not Stage.PREFILL for engine in healthy):
        return healthy
    return [engine for engine in usable if not books.loads.is_lost(engine.id, now)]


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


def _weigh_alone(
    engine: UpstreamRecord,
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    books: EngineBooks,
    now: timedelta,
) -> Placement:
    cached = books.prefixes.count_cached(engine.id, parts)
    new = max(prompt.prompt_tokens - cached, 1)
    read = books.speeds.read_seconds(new, cached) * DECODE_SLOWDOWN
    wait = books.works.sum_seconds(engine.id)
    running = books.works.sum_running(engine.id)
    cost = wait + read + TOKEN_SECONDS * running + _penalty(engine, books, now)
    occupancy = running / max(engine.slots, 1)
    return Placement(engine, None, None, read, wait, occupancy, cost)


def _weigh_pair(
    engine: UpstreamRecord,
    decoder: UpstreamRecord,
    holder: tuple[UpstreamRecord, int] | None,
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    books: EngineBooks,
    favourite: str,
    now: timedelta,
) -> Placement:
    cached = books.prefixes.count_cached(engine.id, parts)
    source = None
    cost = SWITCH_SECONDS + _penalty(engine, books, now)
    if holder is not None and holder[1] - cached >= FETCH_LEAST:
        source, cached = holder
        cost += FETCH_SECONDS
    elif engine.id != favourite:
        cost += NEAR_SECONDS
    new = max(prompt.prompt_tokens - cached, 1)
    read = books.speeds.read_seconds(new, cached)
    wait = books.works.sum_seconds(engine.id)
    occupancy = books.works.sum_running(decoder.id) / max(decoder.slots, 1)
    return Placement(decoder, engine, source, read, wait, occupancy, cost + wait + read)


def _weigh_decoder(engine: UpstreamRecord, books: EngineBooks, now: timedelta) -> float:
    running = books.works.sum_running(engine.id)
    wait = books.works.sum_seconds(engine.id)
    return wait + TOKEN_SECONDS * running + _penalty(engine, books, now)


def _penalty(engine: UpstreamRecord, books: EngineBooks, now: timedelta) -> float:
    """Return the seconds that failures of an engine weigh."""
    return FAILURE_SECONDS * books.loads.read_failure_rate(engine.id, now)
