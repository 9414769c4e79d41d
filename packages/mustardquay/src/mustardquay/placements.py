"""Placements: which engine reads a prompt, and which one generates.

Answers the load of long prompts with short answers beside short prompts with long
answers, on engines whose caches together hold only a part of the shared prompts. The
engine with the earliest expected first token wins: the work ahead, the tokens that it
does not hold, its speed at reading. Of engines that expect the same, rendezvous
hashing (Thaler and Ravishankar, 1998) names one, so that a part that nobody holds yet
is read at one place although several processes choose at the same moment.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from xxhash import xxh3_64_intdigest

from .engine_books import EngineBooks, HashedPart
from .engine_models import Reading
from .engine_samples import Sample, keep_all
from .requests import PromptTraits
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["Placement", "choose_decoder", "choose_engines"]

PAUSE_SHARE = 0.45
"""Part of the longest pause that a route allows which reading beside streams may fill.
The rest is for what other gateways send to the engine at the same moment."""
SHORT_SHARE = 0.09
"""Part of the longest pause that reading may always fill, so that short prompts go to
the streams' engines although those are late. A share of what the route allows, not of
the pauses that are seen: reading makes these longer, which would admit more reading."""
STREAM_HARM = 0.5
"""Part of the reading at an engine that generates which counts again for each of its
streams, as all of them wait for it."""
DISPLACED_SHARE = 0.3
"""Part of the reading that a copy saves which counts as its cost: the copy displaces
other parts, of which some are asked for again."""
FAVOUR_SHARE = 0.1
"""Part of the reading of a prompt's shared parts by which the rendezvous choice goes
before other engines, so that parts gather in one place."""
SLOW_SENDING = timedelta(milliseconds=20)
"""Time to leave the process from which a long prompt may be sent once, as its second
sending would delay what is behind it on the link."""
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
    first_seconds: float
    """Expected time from the prompt that is read to the first event."""
    cost: float
    """Seconds: the wait, the reading, and what it does to others."""
    reading: Reading = Reading(0)
    """What the engine that reads does."""
    work_seconds: float = 0.0
    """All that it had to read, also what goes behind this prompt."""
    usual_seconds: float = 0.0
    """Expected reading of a usual prompt."""
    stream_seconds: float = 0.0
    """Expected time from the first event to the longest end that is allowed."""
    reader_turn: float = 0.0
    """Seconds until its rate limit lets the engine that reads be sent to."""
    decoder_turn: float = 0.0
    """The same for the engine that generates, where another one reads."""

    @property
    def reader(self) -> UpstreamRecord:
        """Return the engine that reads the prompt."""
        return self.prefiller or self.decoder

    @property
    def reader_occupancy(self) -> float:
        """Return the part of the reader's places that its work takes."""
        if not self.usual_seconds:
            return 0.0
        return self.work_seconds / self.usual_seconds / max(self.reader.slots, 1)

    @property
    def turn_seconds(self) -> float:
        """Return the seconds by which rate limits hold the generation up."""
        begun = max(self.wait_seconds, self.reader_turn)
        is_read = begun + self.read_seconds
        return begun - self.wait_seconds + max(self.decoder_turn - is_read, 0.0)

    @property
    def expected_seconds(self) -> float:
        """Return the expected time until the first event."""
        return self.delay_seconds + self.read_seconds + self.first_seconds

    @property
    def delay_seconds(self) -> float:
        """Return the expected waiting, for other prompts and for rate limits."""
        return self.wait_seconds + self.turn_seconds


@dataclass(frozen=True, slots=True)
class _Question:
    """What all engines are weighed for."""

    prompt: PromptTraits
    parts: Sequence[HashedPart]
    books: EngineBooks
    now: timedelta
    holder: UpstreamRecord | None
    """The engine that is believed to hold most of the prompt."""
    held: int
    """Tokens that it holds."""
    rank: int

    def expect_wait(self, engine: UpstreamRecord) -> float:
        """Return the seconds until an engine reads the prompt, by its rank."""
        return self.books.works.sum_seconds(engine.id, self.rank)

    def sum_work(self, engine: UpstreamRecord) -> float:
        """Return the seconds of all that an engine has to read.

        This decides where a prompt goes: one of a high rank that is put at a busy
        engine waits for little itself and delays all others there.
        """
        return self.books.works.sum_seconds(engine.id)

    def expect_stream(self, engine: UpstreamRecord, streams: int) -> float:
        tokens = self.prompt.output_tokens
        return self.books.models.expect_stream(engine.service, tokens, streams)

    def count_cached(self, engine: UpstreamRecord) -> int:
        return self.books.prefixes.count_cached(engine.id, self.parts)

    def make_reading(self, cached: int, copied: int = 0) -> Reading:
        return Reading(max(self.prompt.prompt_tokens - cached, 1), cached, copied)

    def expect_read(self, engine: UpstreamRecord, reading: Reading) -> float:
        return self.books.models.expect_read(engine, reading, self.now)


@dataclass(frozen=True, slots=True)
class _PlannedReading:
    """How one engine would read the prompt."""

    reading: Reading
    holder: UpstreamRecord | None
    seconds: float
    displaced: float
    """Seconds that the copy costs others."""


def choose_engines(
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    engines: Sequence[UpstreamRecord],
    books: EngineBooks,
    now: timedelta,
    avoid: Iterable[str] = (),
    sending: timedelta = timedelta(),
    rank: int = 0,
    sample: Sample = keep_all,
) -> Placement | None:
    """Return the placement that costs least, or None without a usable engine.

    `parts` are the hashed parts of the prompt, `sending` is how long the request takes
    to leave this process once. Engines read it before all that has a higher `rank`.
    `sample` chooses the engines that read which are weighed at all.
    """
    usable = _list_usable(engines, books, now, set(avoid))
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    if not decoders:
        return None
    prefillers = [engine for engine in usable if engine.stage is Stage.PREFILL]
    held, holder = max(
        ((books.prefixes.count_cached(each.id, parts), each) for each in usable),
        key=lambda pair: pair[0],
    )
    question = _Question(prompt, parts, books, now, holder, held, rank)
    alone = [_weigh_alone(engine, question) for engine in decoders]
    if not prefillers:
        return min(alone, key=_get_cost)
    decoder = _pick_decoder(decoders, books, now)
    favourite = _rank_first(parts, prefillers)
    weighed = _sample(prefillers, favourite, holder, sample)
    pairs = [_weigh_pair(engine, decoder, favourite, question) for engine in weighed]
    pair = min(pairs, key=_get_cost)
    harmless = [each for each in alone if _is_harmless(each, books)]
    if not harmless:
        return pair
    best = min(harmless, key=_get_cost)
    sent_twice = sending.total_seconds() if sending >= SLOW_SENDING else 0.0
    return best if best.cost < pair.cost + sent_twice else pair


def choose_decoder(
    engines: Sequence[UpstreamRecord],
    books: EngineBooks,
    now: timedelta,
    avoid: Iterable[str] = (),
) -> UpstreamRecord | None:
    """Return the engine to generate from a prompt that has been read, None if none."""
    usable = _list_usable(engines, books, now, set(avoid))
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    return _pick_decoder(decoders, books, now) if decoders else None


def _sample(
    prefillers: Sequence[UpstreamRecord],
    favourite: str,
    holder: UpstreamRecord | None,
    sample: Sample,
) -> Sequence[UpstreamRecord]:
    """Return the engines that are weighed to read: some, and those that hold parts."""
    chosen = sample(prefillers)
    known = {engine.id for engine in chosen}
    wanted = {favourite} | ({holder.id} if holder is not None else set())
    return [
        *chosen,
        *(each for each in prefillers if each.id in wanted and each.id not in known),
    ]


def _pick_decoder(
    decoders: Sequence[UpstreamRecord], books: EngineBooks, now: timedelta
) -> UpstreamRecord:
    return min(decoders, key=lambda engine: _weigh_decoder(engine, books, now))


def _is_harmless(placement: Placement, books: EngineBooks) -> bool:
    """Tell whether an engine that generates may read the prompt itself.

    Guards against streams that pause for too long: between their steps the engine
    reads, and all that it has to read may fall between two events.
    """
    engine = placement.decoder
    streams = books.works.sum_running(engine.id)
    allowed = books.pauses.get(engine.service)
    if not streams or allowed is None:
        return True
    pause = books.models.expect_pause(engine.service, streams)
    longest = allowed.total_seconds()
    room = max(PAUSE_SHARE * longest - pause, SHORT_SHARE * longest)
    outstanding = books.works.sum_seconds(engine.id)
    return outstanding + placement.read_seconds <= room


def _plan_reading(engine: UpstreamRecord, question: _Question) -> _PlannedReading:
    """Return the cheaper of reading what an engine lacks and copying it first."""
    cached = question.count_cached(engine)
    alone = question.make_reading(cached)
    seconds = question.expect_read(engine, alone)
    if question.holder is None or question.held <= cached:
        return _PlannedReading(alone, None, seconds, 0.0)
    copying = question.make_reading(question.held, question.held - cached)
    with_copy = question.expect_read(engine, copying)
    displaced = DISPLACED_SHARE * (seconds - with_copy)
    overhead = question.books.models.expect_overhead(engine.service)
    if with_copy + displaced + overhead >= seconds:
        return _PlannedReading(alone, None, seconds, 0.0)
    return _PlannedReading(copying, question.holder, with_copy, displaced)


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


def _weigh_alone(engine: UpstreamRecord, question: _Question) -> Placement:
    placement = _place(engine, None, question)
    running = question.books.works.sum_running(engine.id)
    harm = STREAM_HARM * running * placement.read_seconds
    return replace(placement, cost=placement.cost + harm)


def _weigh_pair(
    engine: UpstreamRecord,
    decoder: UpstreamRecord,
    favourite: str,
    question: _Question,
) -> Placement:
    placement = _place(decoder, engine, question)
    books = question.books
    extra = books.models.expect_overhead(engine.service)
    extra += _penalty(decoder, books, question.now)
    if engine.id != favourite:
        shared = sum(tokens for _, tokens in question.parts[:-1])
        extra += FAVOUR_SHARE * question.expect_read(engine, Reading(shared))
    return replace(placement, cost=placement.cost + extra)


def _place(
    decoder: UpstreamRecord, prefiller: UpstreamRecord | None, question: _Question
) -> Placement:
    """Return a placement with the cost that both kinds have: work, reading, start."""
    books = question.books
    reader = prefiller or decoder
    planned = _plan_reading(reader, question)
    work = question.sum_work(reader)
    running = books.works.sum_running(decoder.id)
    first = books.models.expect_first(decoder.service, running)
    reader_turn = books.limits.predict_wait(reader, question.now)
    decoder_turn = 0.0
    if prefiller is not None:
        decoder_turn = books.limits.predict_wait(decoder, question.now)
    cost = max(work, reader_turn) + planned.seconds + planned.displaced + first
    cost = max(cost, decoder_turn + first)
    return Placement(
        decoder=decoder,
        prefiller=prefiller,
        holder=planned.holder,
        read_seconds=planned.seconds,
        wait_seconds=question.expect_wait(reader),
        occupancy=running / max(decoder.slots, 1),
        first_seconds=first,
        cost=cost + _penalty(reader, books, question.now),
        reading=planned.reading,
        work_seconds=work,
        usual_seconds=books.models.get_usual_read(reader.service),
        stream_seconds=question.expect_stream(decoder, running),
        reader_turn=reader_turn,
        decoder_turn=decoder_turn,
    )


def _weigh_decoder(engine: UpstreamRecord, books: EngineBooks, now: timedelta) -> float:
    running = books.works.sum_running(engine.id)
    wait = books.works.sum_seconds(engine.id)
    wait = max(wait, books.limits.predict_wait(engine, now))
    first = books.models.expect_first(engine.service, running)
    return wait + first + _penalty(engine, books, now)


def _penalty(engine: UpstreamRecord, books: EngineBooks, now: timedelta) -> float:
    """Return the seconds that failures of an engine weigh."""
    return FAILURE_SECONDS * books.loads.read_failure_rate(engine.id, now)
