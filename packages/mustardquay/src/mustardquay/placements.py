"""Placements: which engine reads a prompt, and which one generates.

Answers the load of long prompts with short answers beside short prompts with long
answers, on engines whose caches together hold only a part of the shared prompts. The
engine with the earliest expected first token wins: the work ahead, the tokens that it
does not hold, its speed at reading. Of engines that are alike, rendezvous hashing
(Thaler and Ravishankar, 1998) names the same one in every process, so that a part is
read in few places without the processes telling each other.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from xxhash import xxh3_64_intdigest

from .requests import PromptPart, PromptTraits
from .upstream_lists import Stage, UpstreamRecord
from .upstream_loads import LoadBook

__all__ = [
    "EngineSpeeds",
    "EngineWork",
    "Placement",
    "PrefixBook",
    "WorkBook",
    "choose_engines",
]

PART_LIFETIME = timedelta(seconds=9)
"""How long a part that was sent to an engine is taken to be there. At the usual mix
an engine reads about 40,000 new tokens a second and holds 370,000."""
UNKNOWN_CACHED = 0.5
"""Part of the shared tokens that the rendezvous choice is expected to hold although
this process did not send them: the other processes choose by the same hash."""
DECODE_SLOWDOWN = 2.0
"""How many times longer an engine that generates takes to read a prompt."""
TOKEN_SECONDS = 0.0009
"""A generated token at a middling batch: 0.64 ms a step and some prompt between."""
SWITCH_SECONDS = 0.004
"""What reading at one engine and generating at another takes more: a round trip
between availability zones and the copy."""
REMEMBERED_PARTS = 20_000


@dataclass(frozen=True, slots=True)
class EngineSpeeds:
    """How fast an engine reads."""

    prefill_tokens_per_s: float = 200_000.0
    """The operators' sheet says 236 tokens a ms, without attention over the length."""
    pair_seconds: float = 0.138e-9
    """For each pair of a new token and one before it (sheet: 0.138 ms a million)."""

    def read_seconds(self, new_tokens: int, cached_tokens: int) -> float:
        """Return how long an engine reads `new_tokens` behind `cached_tokens`."""
        pairs = new_tokens * (cached_tokens + new_tokens / 2)
        return new_tokens / self.prefill_tokens_per_s + pairs * self.pair_seconds


@dataclass(slots=True)
class PrefixBook:
    """Which parts of prompts this process had read by which engines, and when."""

    seen: OrderedDict[tuple[str, str], timedelta] = field(default_factory=OrderedDict)

    def note(self, engine: str, parts: Iterable[PromptPart], now: timedelta) -> None:
        """Note that an engine has read these parts."""
        for part in parts:
            key = (engine, part.id)
            self.seen[key] = now
            self.seen.move_to_end(key)
        while len(self.seen) > REMEMBERED_PARTS:
            self.seen.popitem(last=False)

    def count_cached(
        self, engine: str, parts: Iterable[PromptPart], now: timedelta
    ) -> int:
        """Return the tokens that the engine is believed to hold from the start."""
        tokens = 0
        for part in parts:
            seen = self.seen.get((engine, part.id))
            if seen is None or now - seen > PART_LIFETIME:
                break
            tokens += part.tokens
        return tokens


@dataclass(slots=True)
class EngineWork:
    """The prompts that this process has sent to one engine and that aren't read."""

    seconds: float = 0.0
    running: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a generation goes."""

    decoder: UpstreamRecord
    prefiller: UpstreamRecord | None
    """Reads the prompt first; None when the decoder reads it itself."""
    read_seconds: float
    """Expected reading at the engine that reads."""
    expected_seconds: float
    """Expected time to the first token."""


@dataclass(slots=True)
class WorkBook:
    """The outstanding work at each engine, as far as this process knows."""

    works: dict[str, EngineWork] = field(default_factory=dict)

    def get(self, id: str) -> EngineWork:
        """Return the work of an engine."""
        work = self.works.get(id)
        if work is None:
            work = self.works[id] = EngineWork()
        return work


def choose_engines(
    prompt: PromptTraits,
    engines: Sequence[UpstreamRecord],
    loads: LoadBook,
    works: WorkBook,
    prefixes: PrefixBook,
    speeds: EngineSpeeds,
    now: timedelta,
    availability_zone: str,
    avoid: Iterable[str] = (),
) -> Placement | None:
    """Return the placement with the earliest expected first token."""
    avoided = set(avoid)
    usable = [engine for engine in engines if engine.id not in avoided]
    healthy = [
        engine for engine in usable if not loads.get(engine.id).is_ejected(now)
    ]
    usable = healthy or usable
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    if not decoders:
        return None
    first = _rank_first(prompt, usable)
    own = [
        _weigh_alone(engine, prompt, works, prefixes, speeds, now, first, loads)
        for engine in decoders
    ]
    best = min(own, key=lambda placement: placement.expected_seconds)
    prefillers = [engine for engine in usable if engine.stage is Stage.PREFILL]
    if not prefillers:
        return best
    decoder = min(
        decoders, key=lambda engine: _weigh_decoder(engine, works, loads, prompt)
    )
    for engine in prefillers:
        placement = _weigh_pair(
            engine, decoder, prompt, works, prefixes, speeds, now, first, loads
        )
        if placement.expected_seconds < best.expected_seconds:
            best = placement
    return best


def _rank_first(
    prompt: PromptTraits, engines: Sequence[UpstreamRecord]
) -> dict[Stage, str]:
    """Return the rendezvous choice of the longest shared prefix for each stage."""
    shared = prompt.shared_parts
    if not shared:
        return {}
    seed = xxh3_64_intdigest(shared[-1].id.encode())
    choice: dict[Stage, tuple[int, str]] = {}
    for engine in engines:
        rank = xxh3_64_intdigest(engine.address.encode(), seed=seed)
        if engine.stage not in choice or rank > choice[engine.stage][0]:
            choice[engine.stage] = (rank, engine.id)
    return {stage: id for stage, (_, id) in choice.items()}


def _expect_read(
    engine: UpstreamRecord,
    prompt: PromptTraits,
    prefixes: PrefixBook,
    speeds: EngineSpeeds,
    now: timedelta,
    first: dict[Stage, str],
) -> float:
    cached = float(prefixes.count_cached(engine.id, prompt.parts, now))
    shared = sum(part.tokens for part in prompt.shared_parts)
    if first.get(engine.stage) == engine.id:
        cached = max(cached, UNKNOWN_CACHED * shared)
    new = max(prompt.prompt_tokens - int(cached), 1)
    return speeds.read_seconds(new, int(cached))


def _weigh_alone(
    engine, prompt, works, prefixes, speeds, now, first, loads
) -> Placement:
    read = _expect_read(engine, prompt, prefixes, speeds, now, first)
    read *= DECODE_SLOWDOWN
    work = works.get(engine.id)
    wait = work.seconds + TOKEN_SECONDS * 4 + _penalty(engine, loads)
    return Placement(engine, None, read, wait + read)


def _weigh_pair(
    engine, decoder, prompt, works, prefixes, speeds, now, first, loads
) -> Placement:
    read = _expect_read(engine, prompt, prefixes, speeds, now, first)
    wait = works.get(engine.id).seconds + _penalty(engine, loads)
    expected = wait + read + SWITCH_SECONDS
    return Placement(decoder, engine, read, expected)


def _weigh_decoder(engine, works, loads, prompt) -> float:
    work = works.get(engine.id)
    return work.seconds + TOKEN_SECONDS * work.running + _penalty(engine, loads)


def _penalty(engine: UpstreamRecord, loads: LoadBook) -> float:
    """Return seconds that failures of an engine weigh."""
    return 0.2 * loads.get(engine.id).failure_rate
