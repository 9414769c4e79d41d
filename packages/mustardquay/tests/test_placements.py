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
    """Return the models of engines so many times slower than some that are known."""
    models = EngineModels()
    read = (0.003, 4.24e-6 * slower, 1.38e-10 * slower, 1e-7)
    first = (0.005 + 0.033 * slower, 0.0003 * slower)
    models.adopt_speeds((PoolSpeeds("llm", 50.0, read, first),), NOW)
    for streams in range(30):
        models.learn_pause("llm", streams, slower * (0.033 + 0.0003 * streams))
    return models


def make_books(slower=1.0):
    states = EngineStates(
        UpstreamLoads(), OutstandingWork(), PrefixCaches(), make_models(slower)
    )
    states.pauses["llm"] = timedelta(milliseconds=200)
    return states


def place(prompt, engines, states, avoid=()):
    parts = hash_parts(prompt.parts)
    return choose_engines(prompt, parts, engines, states, NOW, avoid)


def test_a_long_prompt_is_read_where_nobody_generates():
    """Drafts that are being written stand still for a quarter of a second.

    A long prompt is read in pieces between their steps, and each step takes 5 ms in
    place of 1.
    """
    states = make_books()
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


def test_an_engine_without_streams_reads_what_it_will_generate():
    """Prompts wait in a queue while an engine that generates has nothing to do."""
    states = make_books()
    for engine in ("e0", "e1", "e2", "e3"):
        states.works.get(engine).seconds[0] = 0.5
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.prefiller is None


def test_streams_may_wait_for_as_long_as_their_route_allows():
    """Callers are refused although an engine with few streams could read for them.

    How long reading may take beside streams was stated for engines of one speed.
    """
    states = make_books(slower=5)
    states.works.get("e4").running = 1
    for engine in ("e0", "e1", "e2", "e3"):
        states.works.get(engine).seconds[0] = 1.5
    assert place(LONG, make_engines(4, 1), states).prefiller is not None
    states.pauses["llm"] = timedelta(seconds=2)
    assert place(LONG, make_engines(4, 1), states).prefiller is None


def test_a_short_prompt_does_not_queue_behind_long_ones():
    for slower in (0.2, 1, 5):
        states = make_books(slower)
        for engine in ("e0", "e1", "e2", "e3"):
            states.works.get(engine).seconds[0] = 0.2 * slower
        states.works.get("e4").running = states.works.get("e5").running = 5
        placement = place(SHORT, make_engines(4, 2), states)
        assert placement.prefiller is None


def test_without_engines_that_read_the_others_do():
    assert place(LONG, make_engines(0, 2), make_books()).prefiller is None
    assert place(LONG, make_engines(3, 0), make_books()) is None


def test_an_engine_that_holds_the_shared_parts_is_chosen():
    states = make_books()
    engines = make_engines(4, 2)
    states.prefixes.note("e2", Stage.PREFILL, hash_parts(LONG.shared_parts))
    placement = place(LONG, engines, states)
    assert placement.reader.id == "e2"
    assert placement.holder is None
    assert placement.prefill_seconds < 0.02


def test_a_busy_holder_gives_its_parts_to_an_idle_engine():
    states = make_books()
    engines = make_engines(4, 2)
    states.prefixes.note("e2", Stage.PREFILL, hash_parts(LONG.shared_parts))
    states.works.get("e2").seconds[0] = 0.3
    placement = place(LONG, engines, states)
    assert placement.reader.id != "e2"
    assert placement.holder.id == "e2"
    assert placement.prefill_seconds < 0.02


def test_the_work_of_other_gateways_counts():
    states = make_books()
    engines = make_engines(2, 1)
    digest = PeerDigest("g2", 1, 1, 1, (EngineDigest("e0", (0.4,), 3),))
    states.works.peers.apply_digest(digest, NOW)
    assert {place(LONG, engines, states).reader.id for _ in range(5)} == {"e1"}


def test_a_late_prompt_waits_behind_all_others_and_they_not_for_it():
    """Callers are refused for the sake of prompts that are read behind theirs."""
    states = make_books()
    engines = make_engines(1, 1)
    states.works.get("e1").running = 60
    states.works.get("e0").seconds[7] = 0.5
    parts = hash_parts(LONG.parts)
    waits = [
        choose_engines(LONG, parts, engines, states, NOW, rank=rank).wait_seconds
        for rank in (0, 6, 7, 9)
    ]
    assert waits == [0.0, 0.0, 0.5, 0.5]


def test_an_urgent_prompt_goes_where_it_delays_nobody():
    """Long prompts come late although another engine has nothing to do.

    Engines read urgent prompts first, so that for these a busy engine looked idle.
    """
    states = make_books()
    engines = make_engines(2, 1)
    states.works.get("e2").running = 60
    states.works.get("e0").seconds[2] = 0.5
    assert place(LONG, engines, states).reader.id == "e1"


def test_gateways_that_know_nothing_choose_alike():
    engines = make_engines(4, 2)
    chosen = {place(LONG, engines, make_books()).reader.id for _ in range(4)}
    assert len(chosen) == 1


def test_the_least_recently_used_parts_are_forgotten():
    book = PrefixCaches(capacity=10_000)
    first, second, third = (((n, 4_000),) for n in range(3))
    for part in (first, second, first, third):
        book.note("e0", Stage.PREFILL, part)
    assert book.count_cached("e0", first) == 4_000
    assert book.count_cached("e0", second) == 0


def test_nobody_waits_for_an_engine_that_has_been_out_of_reach_for_long():
    """Callers wait for a connection in vain before they are refused.

    The only engine that generates is lost. One request in 0.7 s tries it; the others
    are told at once.
    """
    states = make_books()
    engines = make_engines(4, 1)
    states.loads.note_unreachable("e4", NOW - timedelta(seconds=2))
    assert place(LONG, engines, states) is not None
    states.loads.note_unreachable("e4", NOW)
    assert place(LONG, engines, states) is None


def limit(states, engine, per_second):
    """Have an engine name a limit, of which the next turn is as far as can be."""
    states.limits.hear(engine, per_second, NOW)


def test_what_an_engine_in_need_does_not_take_goes_to_another():
    """Guards against refusals while another engine that generates has room."""
    states = make_books()
    limit(states, "e4", 2.0)
    for engine in ("e4", "e5"):
        states.works.get(engine).running = 20
    states.works.get("e5").running = 30
    placement = place(LONG, make_engines(4, 2), states)
    assert (placement.decoder.id, placement.limit_wait_seconds) == ("e5", 0.0)


def test_an_engine_in_need_is_used_when_its_turn_is_sooner_than_another_queue():
    """Guards against an engine at its limit that is treated like one that failed."""
    states = make_books()
    limit(states, "e4", 20.0)
    states.works.get("e5").seconds[0] = 2.0
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.decoder.id == "e4"


def test_a_limit_of_all_that_generate_shows_as_a_turn_to_wait_for():
    """Guards against an answer that is promised in time and comes seconds late."""
    states = make_books()
    for engine in ("e4", "e5"):
        limit(states, engine, 0.5)
    placement = place(LONG, make_engines(4, 2), states)
    assert placement.limit_wait_seconds > 1.5
