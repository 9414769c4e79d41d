from datetime import timedelta

from mustardquay.engine_models import EngineModels, PoolSpeeds
from mustardquay.engine_states import (
    EngineStates,
    OutstandingWork,
    PrefixCaches,
    hash_parts,
)
from mustardquay.peer_digests import EngineDigest, PeerDigest
from mustardquay.placements import choose_engines
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

NOW = timedelta(seconds=5)
LONG = PromptTraits(
    "m",
    9_190,
    104,
    (PromptPart("doc", 2_520), PromptPart("place", 3_780), PromptPart("own", 2_890)),
)
SHORT = PromptTraits("m", 220, 4_600, (PromptPart("style", 79), PromptPart("own", 141)))


def make_engines(prefill, decode):
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        UpstreamRecord(f"e{n}", "llm", f"10.0.0.{n}:80", "a", 64, False, stage)
        for n, stage in enumerate(stages)
    ]


def make_models(slower=1.0):
    """Return models of engines that are `slower` times slower than a known type."""
    models = EngineModels()
    read = (0.003, 4.24e-6 * slower, 1.38e-10 * slower, 1e-7)
    first = (0.005 + 0.033 * slower, 0.0003 * slower)
    models.adopt_speeds((PoolSpeeds("llm", 50.0, read, first),), NOW)
    for streams in range(30):
        pause = slower * (0.033 + 0.0003 * streams)
        models.learn_pause(make_engines(0, 1)[0], streams, pause, NOW)
    return models


def make_states(slower=1.0):
    states = EngineStates(
        UpstreamLoads(), OutstandingWork(), PrefixCaches(), make_models(slower)
    )
    states.pauses["llm"] = timedelta(milliseconds=200)
    return states


def place(prompt, engines, states, avoid=()):
    parts = hash_parts(prompt.parts)
    return choose_engines(prompt, parts, engines, states, NOW, avoid)


def test_long_prompts_use_prefill_engines():
    """Guards against running streams that stall for a quarter of a second.

    A long prompt on a decode engine is prefilled in chunks between decode steps, so
    that each step takes 5 ms instead of 1.
    """
    states = make_states()
    for engine in ("e4", "e5"):
        states.works.get(engine).running = 20
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.prefiller.stage is Stage.PREFILL
    assert placement.decoder.stage is Stage.DECODE
    for engine in ("e0", "e1", "e2", "e3"):
        states.works.get(engine).seconds[0] = 2.0
    for engine in ("e4", "e5"):
        states.works.get(engine).seconds[0] = 0.08
    assert place(LONG, make_engines(4, 2), states).prefiller is not None


def test_idle_decode_engines_prefill():
    """Guards against prompts that queue while a decode engine is idle."""
    states = make_states()
    for engine in ("e0", "e1", "e2", "e3"):
        states.works.get(engine).seconds[0] = 0.5
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.prefiller is None


def test_prefill_beside_streams_follows_the_longest_pause():
    """Guards against refusals while an engine with few streams has prefill capacity.

    The limit on prefill beside streams was a constant measured for engines of one
    speed.
    """
    states = make_states(slower=5)
    states.works.get("e4").running = 1
    for engine in ("e0", "e1", "e2", "e3"):
        states.works.get(engine).seconds[0] = 1.5
    assert place(LONG, make_engines(4, 1), states).prefiller is not None
    states.pauses["llm"] = timedelta(seconds=2)
    assert place(LONG, make_engines(4, 1), states).prefiller is None


def test_a_short_prompt_does_not_queue_behind_long_ones():
    for slower in (0.2, 1, 5):
        states = make_states(slower)
        for engine in ("e0", "e1", "e2", "e3"):
            states.works.get(engine).seconds[0] = 0.2 * slower
        states.works.get("e4").running = states.works.get("e5").running = 5
        placement = place(SHORT, make_engines(4, 2), states)
        assert placement.prefiller is None


def test_decode_engines_prefill_without_prefill_engines():
    assert place(LONG, make_engines(0, 2), make_states()).prefiller is None
    assert place(LONG, make_engines(3, 0), make_states()) is None


def test_cached_prefixes_are_preferred():
    states = make_states()
    engines = make_engines(4, 2)
    states.prefixes.note("e2", Stage.PREFILL, hash_parts(LONG.shared_parts))
    placement = place(LONG, engines, states)
    assert placement.reader.id == "e2"
    assert placement.holder is None
    assert placement.prefill_seconds < 0.02


def test_an_idle_engine_copies_from_a_busy_holder():
    states = make_states()
    engines = make_engines(4, 2)
    states.prefixes.note("e2", Stage.PREFILL, hash_parts(LONG.shared_parts))
    states.works.get("e2").seconds[0] = 0.3
    placement = place(LONG, engines, states)
    assert placement.reader.id != "e2"
    assert placement.holder.id == "e2"
    assert placement.prefill_seconds < 0.02


def test_the_work_of_other_gateways_counts():
    states = make_states()
    engines = make_engines(2, 1)
    digest = PeerDigest("g2", 1, 1, 1, (EngineDigest("e0", (0.4,), 3),))
    states.works.peers.apply_digest(digest, NOW)
    assert {place(LONG, engines, states).reader.id for _ in range(5)} == {"e1"}


def test_late_prompts_wait_and_delay_no_others():
    """Guards against refusals of requests that precede the outstanding prompts."""
    states = make_states()
    engines = make_engines(1, 1)
    states.works.get("e1").running = 60
    states.works.get("e0").seconds[7] = 0.5
    parts = hash_parts(LONG.parts)
    waits = [
        choose_engines(LONG, parts, engines, states, NOW, rank=rank).wait_seconds
        for rank in (0, 6, 7, 9)
    ]
    assert waits == [0.0, 0.0, 0.5, 0.5]


def test_urgent_prompts_avoid_busy_engines():
    """Guards against late long prompts while another engine is idle.

    Engines process urgent prompts first, so that a busy engine seemed idle to these.
    """
    states = make_states()
    engines = make_engines(2, 1)
    states.works.get("e2").running = 60
    states.works.get("e0").seconds[2] = 0.5
    assert place(LONG, engines, states).reader.id == "e1"


def test_gateways_without_state_choose_the_same_engine():
    engines = make_engines(4, 2)
    chosen = {place(LONG, engines, make_states()).reader.id for _ in range(4)}
    assert len(chosen) == 1


def test_the_least_recently_used_parts_are_evicted():
    caches = PrefixCaches(capacity=10_000)
    first, second, third = (((n, 4_000),) for n in range(3))
    for part in (first, second, first, third):
        caches.note("e0", Stage.PREFILL, part)
    assert caches.count_cached("e0", first) == 4_000
    assert caches.count_cached("e0", second) == 0


def test_lost_engines_are_not_chosen():
    """Guards against callers who wait for a connection that fails before a refusal.

    The only decode engine is lost. One request in 0.7 s probes it; the others are
    refused at once.
    """
    states = make_states()
    engines = make_engines(4, 1)
    states.loads.note_unreachable("e4", NOW - timedelta(seconds=2))
    assert place(LONG, engines, states) is not None
    states.loads.note_unreachable("e4", NOW)
    assert place(LONG, engines, states) is None


def limit(states, engine, per_second):
    """Have an engine announce a limit and delay the next request by the maximum."""
    states.limits.update(engine, per_second, NOW)


def test_rate_limited_engines_are_avoided():
    """Guards against refusals while another decode engine has capacity."""
    states = make_states()
    limit(states, "e4", 2.0)
    for engine in ("e4", "e5"):
        states.works.get(engine).running = 20
    states.works.get("e5").running = 30
    placement = place(LONG, make_engines(4, 2), states)
    assert (placement.decoder.id, placement.limit_wait_seconds) == ("e5", 0.0)


def test_a_short_limit_wait_is_preferred_to_a_long_queue():
    """Guards against treating an engine at its rate limit like one that failed."""
    states = make_states()
    limit(states, "e4", 20.0)
    states.works.get("e5").seconds[0] = 2.0
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.decoder.id == "e4"


def test_limits_of_all_decode_engines_delay_the_placement():
    """Guards against admitting a request as in time whose answer is seconds late."""
    states = make_states()
    for engine in ("e4", "e5"):
        limit(states, engine, 0.5)
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.limit_wait_seconds > 1.5
