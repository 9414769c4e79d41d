"""Placements: which engine prefills a prompt, and which one decodes the answer.

Designed for a mix of long prompts with short answers and short prompts with long
answers, on engines whose prefix caches together hold only a part of the shared prompts.
The engine with the earliest expected first token is chosen, from its outstanding work,
the tokens that it lacks in its cache and its prefill speed. Among engines with equal
estimates, rendezvous hashing (Thaler and Ravishankar, 1998) selects one, so that a part
which no engine has cached yet is prefilled on a single engine although several
processes choose at the same moment.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from xxhash import xxh3_64_intdigest

from .decoder_choices import (
    estimate_failure_cost,
    estimate_slot_wait,
    list_fitting,
    pick_decoder,
)
from .engine_models import Prefill
from .engine_samples import Sample, keep_all
from .engine_states import EngineStates, HashedPart
from .requests import PromptTraits
from .upstream_lists import Stage, UpstreamRecord
from .usable_engines import list_usable_engines

__all__ = ["Placement", "choose_engines"]

PAUSE_SHARE = 0.45
"""Fraction of the longest pause allowed by a route that prefill on an engine with
running streams may take. The rest is reserved for requests which other gateways send to
the engine at the same moment."""
SHORT_SHARE = 0.09
"""Fraction of the longest pause that prefill may always take, so that short prompts go
to decode engines even when their streams are late. Relative to the pause that the route
allows and not to the measured pauses: prefill lengthens these, which would admit even
more prefill."""
STREAM_DELAY_SHARE = 0.5
"""Fraction of the prefill time on a decode engine that is added to the cost once for
each of its streams, as prefill delays all of them."""
EVICTION_SHARE = 0.3
"""Fraction of the prefill time saved by a copy that is charged as its cost: the copy
evicts other parts, some of which are requested again."""
AFFINITY_SHARE = 0.1
"""Fraction of the prefill time of a prompt's shared parts by which the engine selected
by rendezvous hashing is preferred, so that requests with the same prefix share a
cache."""
SLOW_SEND_TIME = timedelta(milliseconds=20)
"""Send time from which a long prompt is preferably sent only once, as sending it to a
second engine would delay the requests behind it on the link."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The engines chosen for a generation, with the estimates behind the choice."""

    decoder: UpstreamRecord
    prefiller: UpstreamRecord | None
    """Prefills the prompt; None when the decoder does so itself."""
    holder: UpstreamRecord | None
    """Another engine, from whose cache the reader first copies the parts that it
    lacks."""
    prefill_seconds: float
    """Expected prefill time on the reader."""
    wait_seconds: float
    """Expected queueing time before the prefill begins."""
    occupancy: float
    """Fraction of the decoder's slots in use."""
    first_seconds: float
    """Expected time from the end of the prefill to the first event, with the wait for a
    slot of the decoder."""
    cost: float
    """Seconds: queueing, prefill and the delay caused to other requests."""
    prefill: Prefill = Prefill(0)
    """Tokens to compute, cached and copied on the reader."""
    work_seconds: float = 0.0
    """Total outstanding prefill on the reader, including work ranked behind this
    prompt."""
    usual_seconds: float = 0.0
    """Expected prefill time of an average prompt."""
    stream_seconds: float = 0.0
    """Expected time from the first event to the end of the longest answer allowed."""
    reader_limit_wait: float = 0.0
    """Seconds until the rate limit of the reader allows another request."""
    decoder_limit_wait: float = 0.0
    """The same for the decoder; 0 when it prefills the prompt itself."""
    slot_wait: float = 0.0
    """Expected seconds until the decoder has a free slot."""
    lasting_factor: float = 1.0
    """How many times longer the reader takes than the mean engine, lastingly."""
    current_factor: float = 1.0
    """How many times longer than usual the reader takes at the moment."""

    @property
    def work(self) -> float:
        """Return the prefill time at the usual speed of the reader, in seconds."""
        return self.prefill_seconds / self.current_factor

    @property
    def reader(self) -> UpstreamRecord:
        """Return the engine that prefills the prompt."""
        return self.prefiller or self.decoder

    @property
    def reader_occupancy(self) -> float:
        """Return the fraction of the reader's slots that its outstanding work takes."""
        if not self.usual_seconds:
            return 0.0
        return self.work_seconds / self.usual_seconds / max(self.reader.slots, 1)

    @property
    def limit_wait_seconds(self) -> float:
        """Return the delay caused by rate limits, in seconds."""
        begun = max(self.wait_seconds, self.reader_limit_wait)
        is_read = begun + self.prefill_seconds
        return begun - self.wait_seconds + max(self.decoder_limit_wait - is_read, 0.0)

    @property
    def expected_seconds(self) -> float:
        """Return the expected time until the first event."""
        return self.delay_seconds + self.prefill_seconds + self.first_seconds

    @property
    def delay_seconds(self) -> float:
        """Return the expected delay by queueing and by rate limits."""
        return self.wait_seconds + self.limit_wait_seconds


@dataclass(frozen=True, slots=True)
class _Query:
    """The inputs of one placement decision, shared by all candidate engines."""

    prompt: PromptTraits
    parts: Sequence[HashedPart]
    states: EngineStates
    now: timedelta
    holder: UpstreamRecord | None
    """The engine expected to have the longest cached prefix of the prompt."""
    held: int
    """Tokens of that prefix."""
    rank: int

    def expect_wait(self, engine: UpstreamRecord) -> float:
        """Return the queueing time at an engine for a prompt of this rank."""
        return self.states.expect_work(engine.id, self.now, self.rank)

    def sum_work(self, engine: UpstreamRecord) -> float:
        """Return the seconds of all outstanding prefill at an engine.

        Placement uses the total: an urgent prompt on a busy engine waits little itself
        but delays all others there.
        """
        return self.states.expect_work(engine.id, self.now)

    def expect_stream(self, engine: UpstreamRecord, streams: int) -> float:
        tokens = self.prompt.output_tokens
        return self.states.models.expect_stream(engine, tokens, streams, self.now)

    def count_cached(self, engine: UpstreamRecord) -> int:
        return self.states.prefixes.count_cached(engine.id, self.parts)

    def make_prefill(self, cached: int, copied: int = 0) -> Prefill:
        return Prefill(max(self.prompt.prompt_tokens - cached, 1), cached, copied)

    def expect_prefill(self, engine: UpstreamRecord, prefill: Prefill) -> float:
        return self.states.models.expect_prefill(engine, prefill, self.now)


@dataclass(frozen=True, slots=True)
class _Decoding:
    """What to expect of the answer on one engine, whichever engine prefills."""

    engine: UpstreamRecord
    running: int
    """Streams on the engine."""
    slot_wait: float
    first_seconds: float
    stream_seconds: float


@dataclass(frozen=True, slots=True)
class _PrefillPlan:
    """The cheapest way to prefill the prompt on one engine."""

    prefill: Prefill
    holder: UpstreamRecord | None
    seconds: float
    eviction_cost: float
    """Cost of the cache evictions that the copy causes, in seconds."""


def choose_engines(
    prompt: PromptTraits,
    parts: Sequence[HashedPart],
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoid: Iterable[str] = (),
    sending: timedelta = timedelta(),
    rank: int = 0,
    sample: Sample = keep_all,
) -> Placement | None:
    """Return the placement with the lowest cost, or None without a usable engine.

    `parts` are the hashed parts of the prompt, `sending` is the time to send the
    request once. Engines process it before requests with a higher `rank`. `sample`
    selects the prefill engines to compare.
    """
    usable = list_usable_engines(engines, states, now, set(avoid))
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    if not decoders:
        return None
    prefillers = [engine for engine in usable if engine.stage is Stage.PREFILL]
    held, holder = max(
        ((states.prefixes.count_cached(each.id, parts), each) for each in usable),
        key=lambda pair: pair[0],
    )
    query = _Query(prompt, parts, states, now, holder, held, rank)
    fitting = list_fitting(decoders, states, now, prompt.output_tokens)
    if states.models.speeds is not None:
        fitting = sample(fitting)
    singles = [_make_single(engine, query) for engine in fitting]
    if not prefillers:
        return min(singles, key=_get_cost)
    decoder = pick_decoder(fitting, states, now, prompt.output_tokens, keep_all)
    preferred = _choose_by_hash(parts, prefillers)
    candidates = _sample(prefillers, preferred, holder, sample)
    decoding = _expect_decoding(decoder, query)
    pairs = [_make_pair(engine, decoding, preferred, query) for engine in candidates]
    pair = min(pairs, key=_get_cost)
    admissible = [each for each in singles if _may_prefill(each, states, now)]
    if not admissible:
        return pair
    best = min(admissible, key=_get_cost)
    sent_twice = sending.total_seconds() if sending >= SLOW_SEND_TIME else 0.0
    return best if best.cost < pair.cost + sent_twice else pair


def _sample(
    prefillers: Sequence[UpstreamRecord],
    preferred: str,
    holder: UpstreamRecord | None,
    sample: Sample,
) -> Sequence[UpstreamRecord]:
    """Return the prefill engines to compare.

    The preferred engine and the holder of the prefix are included if they prefill.
    """
    chosen = sample(prefillers)
    chosen_ids = {engine.id for engine in chosen}
    wanted = {preferred} | ({holder.id} if holder is not None else set())
    return [
        *chosen,
        *(
            each
            for each in prefillers
            if each.id in wanted and each.id not in chosen_ids
        ),
    ]


def _may_prefill(placement: Placement, states: EngineStates, now: timedelta) -> bool:
    """Return whether a decode engine may prefill the prompt itself.

    Limits the pauses of running streams: the engine prefills between decode steps, and
    all of its outstanding prefill may fall between two events.
    """
    engine = placement.decoder
    streams = states.works.sum_running(engine.id)
    allowed = states.pauses.get(engine.service)
    if not streams or allowed is None:
        return True
    pause = states.models.expect_pause(engine, streams, now)
    longest = allowed.total_seconds()
    room = max(PAUSE_SHARE * longest - pause, SHORT_SHARE * longest)
    outstanding = states.expect_work(engine.id, now)
    return outstanding + placement.prefill_seconds <= room


def _plan_prefill(engine: UpstreamRecord, query: _Query) -> _PrefillPlan:
    """Return the cheaper of prefill alone and prefill after copying the prefix."""
    cached = query.count_cached(engine)
    uncopied = query.make_prefill(cached)
    seconds = query.expect_prefill(engine, uncopied)
    if query.holder is None or query.held <= cached:
        return _PrefillPlan(uncopied, None, seconds, 0.0)
    copying = query.make_prefill(query.held, query.held - cached)
    with_copy = query.expect_prefill(engine, copying)
    eviction_cost = EVICTION_SHARE * (seconds - with_copy)
    overhead = query.states.models.expect_overhead(engine.service)
    if with_copy + eviction_cost + overhead >= seconds:
        return _PrefillPlan(uncopied, None, seconds, 0.0)
    return _PrefillPlan(copying, query.holder, with_copy, eviction_cost)


def _get_cost(placement: Placement) -> float:
    return placement.cost


def _choose_by_hash(
    parts: Sequence[HashedPart], engines: Sequence[UpstreamRecord]
) -> str:
    """Return the engine selected by rendezvous hashing of the longest shared prefix."""
    shared = parts[:-1]
    if not shared:
        return ""
    seed = shared[-1][0]
    return max(
        engines,
        key=lambda engine: xxh3_64_intdigest(engine.address.encode(), seed=seed),
    ).id


def _expect_decoding(engine: UpstreamRecord, query: _Query) -> _Decoding:
    states = query.states
    running = states.works.sum_running(engine.id)
    slot_wait = estimate_slot_wait(engine, states, query.now)
    first = states.models.expect_first(engine, running, query.now)
    stream = query.expect_stream(engine, running)
    return _Decoding(engine, running, slot_wait, first + slot_wait, stream)


def _make_single(engine: UpstreamRecord, query: _Query) -> Placement:
    decoding = _expect_decoding(engine, query)
    placement = _make_placement(decoding, None, query)
    delay = STREAM_DELAY_SHARE * decoding.running * placement.prefill_seconds
    return replace(placement, cost=placement.cost + delay)


def _make_pair(
    engine: UpstreamRecord,
    decoding: _Decoding,
    preferred: str,
    query: _Query,
) -> Placement:
    placement = _make_placement(decoding, engine, query)
    states = query.states
    extra = states.models.expect_overhead(engine.service)
    extra += estimate_failure_cost(decoding.engine, states, query.now)
    if engine.id != preferred:
        shared = sum(tokens for _, tokens in query.parts[:-1])
        extra += AFFINITY_SHARE * query.expect_prefill(engine, Prefill(shared))
    return replace(placement, cost=placement.cost + extra)


def _make_placement(
    decoding: _Decoding, prefiller: UpstreamRecord | None, query: _Query
) -> Placement:
    """Return a placement with the cost terms that both kinds of placement share."""
    states, decoder = query.states, decoding.engine
    reader = prefiller or decoder
    planned = _plan_prefill(reader, query)
    work = query.sum_work(reader)
    first = decoding.first_seconds
    reader_limit_wait = states.limits.predict_wait(reader, query.now)
    decoder_limit_wait = 0.0
    if prefiller is not None:
        decoder_limit_wait = states.limits.predict_wait(decoder, query.now)
    cost = (
        max(work, reader_limit_wait) + planned.seconds + planned.eviction_cost + first
    )
    cost = max(cost, decoder_limit_wait + first)
    return Placement(
        decoder=decoder,
        prefiller=prefiller,
        holder=planned.holder,
        prefill_seconds=planned.seconds,
        wait_seconds=query.expect_wait(reader),
        occupancy=decoding.running / max(decoder.slots, 1),
        first_seconds=first,
        cost=cost + estimate_failure_cost(reader, states, query.now),
        prefill=planned.prefill,
        work_seconds=work,
        usual_seconds=states.models.get_usual_prefill(reader, query.now),
        stream_seconds=decoding.stream_seconds,
        reader_limit_wait=reader_limit_wait,
        decoder_limit_wait=decoder_limit_wait,
        slot_wait=decoding.slot_wait,
        lasting_factor=states.models.slowdown_factor(reader, query.now),
        current_factor=states.models.current_factor(reader.id, query.now),
    )
