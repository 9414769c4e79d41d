"""Decoder choices: which engine decodes the answer to a prompt.

Designed for decode engines of different speed, on which the events of a stream are
further apart than a caller tolerates while a slow engine is in a slow spell, and which
have few slots, so that requests wait for one while others are free elsewhere.
"""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from .engine_samples import Sample, keep_all
from .engine_states import EngineStates
from .stage_capacities import DecodeSpeed
from .upstream_lists import Stage, UpstreamRecord
from .usable_engines import list_usable_engines

__all__ = [
    "choose_decoder",
    "estimate_failure_cost",
    "estimate_slot_wait",
    "list_fitting",
    "measure_decode_speeds",
    "pick_decoder",
]

FAILURE_SECONDS = 0.2
"""Cost of an engine with a failure rate of 1."""
SPELL_FACTOR = 2.5
"""How many times longer work takes in a slow spell that a stream must tolerate: streams
last for longer than the time between two spells."""
SLOT_RESERVE = 0.25
"""Fraction of an engine's slots that others may have taken since their last digest: 240
requests a second and digests of 70 ms fill two slots of each of eight engines."""
SIMILAR_PAUSE = 1.3
"""Ratio up to which pauses count as equally long; learned factors vary by a quarter."""
MIN_STREAM_TOKENS = 3
"""Tokens from which an answer may have several events, whatever their number of steps:
an answer that is taken for a stream by mistake is decoded on a fast engine."""


def choose_decoder(
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoid: Iterable[str] = (),
    tokens: int = 0,
    sample: Sample = keep_all,
) -> UpstreamRecord | None:
    """Return the engine to decode from a finished prefill, or None if there is none."""
    usable = list_usable_engines(engines, states, now, set(avoid))
    decoders = [engine for engine in usable if engine.stage is not Stage.PREFILL]
    if not decoders:
        return None
    return pick_decoder(decoders, states, now, tokens, sample)


def pick_decoder(
    decoders: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    tokens: int = 0,
    sample: Sample = keep_all,
) -> UpstreamRecord:
    """Return the engine with the earliest first event among those that fit.

    Where speeds are known, `sample` selects the engines to compare: all gateways see
    the same reports, and would send to the same fastest engine.
    """
    fitting = list_fitting(decoders, states, now, tokens)
    if states.models.speeds is not None:
        fitting = sample(fitting)
    return min(fitting, key=lambda engine: _estimate_decoder_cost(engine, states, now))


def list_fitting(
    decoders: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    tokens: int,
) -> Sequence[UpstreamRecord]:
    """Return the engines whose pauses an answer of `tokens` tolerates, also in a spell.

    If none fits, those with nearly the shortest pauses. Guards against streams on slow
    engines while a gateway that started lately expects long pauses everywhere. All
    engines if those that fit have no free slot: a late pause is better than a first
    event that waits for a stream to end.
    """
    models = states.models
    if models.speeds is None or tokens < MIN_STREAM_TOKENS:
        return decoders
    running = {each.id: states.works.sum_running(each.id) for each in decoders}
    fitting = [
        each for each in decoders if _keeps_pauses(each, running[each.id], states, now)
    ]
    if not fitting:
        fitting = _list_shortest_pauses(decoders, states, now)
    has_free = any(running[each.id] < each.slots for each in fitting)
    return fitting if has_free else decoders


def _list_shortest_pauses(
    decoders: Sequence[UpstreamRecord], states: EngineStates, now: timedelta
) -> Sequence[UpstreamRecord]:
    factors = {each.id: states.models.decode_factor(each, now) for each in decoders}
    longest = SIMILAR_PAUSE * min(factors.values(), default=1.0)
    return [each for each in decoders if factors[each.id] <= longest]


def _keeps_pauses(
    engine: UpstreamRecord, streams: int, states: EngineStates, now: timedelta
) -> bool:
    """Return whether pauses stay within the strictest limit in a slow spell."""
    allowed = states.pauses.get(engine.service)
    if allowed is None:
        return True
    pause = states.models.expect_usual_pause(engine, streams, now)
    return SPELL_FACTOR * pause <= allowed.total_seconds()


def measure_decode_speeds(
    engines: Sequence[UpstreamRecord], states: EngineStates, now: timedelta
) -> Mapping[str, DecodeSpeed] | None:
    """Return how fast each engine decodes, or would; None without load reports."""
    if states.models.speeds is None:
        return None
    return {
        each.id: DecodeSpeed(
            states.models.decode_factor(each, now),
            _keeps_pauses(each, each.slots // 2, states, now),
        )
        for each in engines
    }


def estimate_slot_wait(
    engine: UpstreamRecord, states: EngineStates, now: timedelta
) -> float:
    """Return the expected seconds until an engine has a free slot.

    An event interval for each time that its reserve of slots is taken: the slots of
    short answers become free after one.
    """
    if states.models.speeds is None:
        return 0.0
    running = states.works.sum_running(engine.id)
    reserve = max(SLOT_RESERVE * engine.slots, 1.0)
    lacking = running + reserve - engine.slots
    if lacking <= 0:
        return 0.0
    return lacking / reserve * states.models.expect_pause(engine, running, now)


def _estimate_decoder_cost(
    engine: UpstreamRecord, states: EngineStates, now: timedelta
) -> float:
    running = states.works.sum_running(engine.id)
    wait = states.expect_work(engine.id, now)
    wait = max(wait, states.limits.predict_wait(engine, now))
    first = states.models.expect_first(engine, running, now)
    first += estimate_slot_wait(engine, states, now)
    return wait + first + estimate_failure_cost(engine, states, now)


def estimate_failure_cost(
    engine: UpstreamRecord, states: EngineStates, now: timedelta
) -> float:
    """Return the cost of an engine's recent failures, in seconds."""
    return FAILURE_SECONDS * states.loads.read_failure_rate(engine.id, now)
