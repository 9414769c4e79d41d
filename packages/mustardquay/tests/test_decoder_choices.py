"""Decode engines of different speed, and their few slots."""

from datetime import timedelta
from random import Random

import pytest

from mustardquay.decoder_choices import choose_decoder, estimate_slot_wait
from mustardquay.engine_models import EngineModels
from mustardquay.engine_samples import make_sample
from mustardquay.engine_speeds import EngineFactor, EngineSpeeds
from mustardquay.engine_states import EngineStates, OutstandingWork, PrefixCaches
from mustardquay.generation_limits import admits_generation
from mustardquay.placements import choose_engines
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import Repeat, Route
from mustardquay.upstream_capacity import CapacityEstimates, LoadReport
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

NOW = timedelta(seconds=5)
FAST, SLOW = 1 / 1.2, 1 / 0.55
PAUSE = 0.0476
STREAM, SHORT = 72, 2


def make_states(speeds=True):
    """Return the state of four decode engines, of which `e0` is slow."""
    loads = UpstreamLoads()
    known = EngineSpeeds(loads.capacities) if speeds else None
    models = EngineModels(known)
    for number in range(30):
        at = NOW - timedelta(milliseconds=100) * (30 - number)
        models.learn_pause(make_engine("e9"), number % 13, PAUSE, at)
        models.learn_first(make_engine("e9"), number % 13, PAUSE, at)
    if speeds:
        models.forget("e9")
        for id, factor in (("e0", SLOW), ("e1", FAST), ("e2", FAST), ("e3", FAST)):
            notice = EngineFactor(id, factor, factor, 40.0, 40.0)
            models.apply_factors("g2", (notice,), make_engine, NOW)
    states = EngineStates(loads, OutstandingWork(), PrefixCaches(), models)
    states.pauses["llm"] = timedelta(milliseconds=150)
    return states


def make_engine(id):
    return UpstreamRecord(id, "llm", "10.0.0.1:80", "a", 12, False, Stage.DECODE)


def list_engines():
    return [make_engine(f"e{number}") for number in range(4)]


def set_running(states, *running):
    for number, count in enumerate(running):
        states.works.get(f"e{number}").running = count


def test_streams_avoid_engines_whose_pauses_are_too_long_in_a_spell():
    """Guards against streams that pause for 217 ms where 150 ms are tolerated."""
    states = make_states()
    set_running(states, 0, 6, 6, 6)
    chosen = choose_decoder(list_engines(), states, NOW, (), STREAM)
    assert chosen.id != "e0"


def test_answers_of_one_event_use_the_others():
    """Guards against slow engines that stay idle while fast ones have no free slot."""
    states = make_states()
    set_running(states, 0, 12, 12, 12)
    assert choose_decoder(list_engines(), states, NOW, (), SHORT).id == "e0"


def test_streams_use_slow_engines_when_no_other_has_a_slot():
    """Guards against first events that wait for the end of another stream."""
    states = make_states()
    set_running(states, 0, 12, 12, 12)
    assert choose_decoder(list_engines(), states, NOW, (), STREAM).id == "e0"


def test_an_engine_in_a_spell_is_avoided():
    """Guards against first events that take 2.5 times as long as elsewhere."""
    states = make_states()
    set_running(states, 0, 0, 2, 2)
    report = LoadReport(work_time=2.5)
    states.loads.capacities.note_report("e1", report, NOW)
    assert choose_decoder(list_engines(), states, NOW, (), SHORT).id in ("e2", "e3")


def test_gateways_that_choose_at_once_spread_their_choices():
    """Guards against a fast engine that all gateways choose between two digests."""
    states = make_states()
    chosen = set()
    for seed in range(28):
        sample = make_sample(Random(seed), 28)
        chosen.add(choose_decoder(list_engines(), states, NOW, (), STREAM, sample).id)
    assert chosen == {"e1", "e2", "e3"}


def test_without_speeds_the_first_engine_is_chosen_as_before():
    """Guards against other decisions while load reports are off."""
    states = make_states(speeds=False)
    set_running(states, 0, 1, 1, 1)
    assert choose_decoder(list_engines(), states, NOW, (), STREAM).id == "e0"
    set_running(states, 20, 1, 1, 1)
    assert estimate_slot_wait(make_engine("e0"), states, NOW) == 0.0


@pytest.mark.parametrize(("work_time", "is_single"), [(1.0, True), (2.5, False)])
def test_prefill_between_decode_steps_is_limited_by_the_present_speed(
    work_time, is_single
):
    """Guards against prefill that fits between events only at the usual speed."""
    states = make_states()
    set_running(states, 12, 4, 12, 12)
    prefiller = UpstreamRecord("p", "llm", "10.0.0.2:80", "a", 12, False, Stage.PREFILL)
    for engine in (make_engine("e1"), prefiller):
        states.loads.capacities.note_report(
            engine.id, LoadReport(work_time=work_time), NOW
        )
    states.works.get("p").seconds[0] = 1.0
    parts = (PromptPart("a", 100), PromptPart("b", 900))
    prompt = PromptTraits("m", 1_000, SHORT, parts)
    placement = choose_engines(prompt, (), [make_engine("e1"), prefiller], states, NOW)
    assert (placement.prefiller is None) == is_single


def test_wait_for_a_slot_is_expected():
    """Guards against requests that are admitted as on time to a queue for a slot."""
    states = make_states()
    set_running(states, 0, 6, 12, 18)
    waits = [estimate_slot_wait(each, states, NOW) for each in list_engines()]
    assert waits[1] == 0.0
    assert 0.0 < waits[2] < waits[3]


def test_false_reports_leave_an_engine_to_decode():
    """Guards against a refusal where all engines report that they are slow."""
    states = make_states()
    for engine in list_engines():
        report = LoadReport(work_time=1e9)
        states.loads.capacities.note_report(engine.id, report, NOW)
    assert choose_decoder(list_engines(), states, NOW, (), STREAM) is not None
    assert isinstance(states.loads.capacities, CapacityEstimates)


@pytest.mark.parametrize(("running", "is_admitted"), [(4, True), (18, False)])
def test_streams_are_not_admitted_as_on_time_to_a_queue_for_slots(running, is_admitted):
    """Guards against streams that take all of 12 slots, as their prefill is light.

    At twice the load that the slots bear, 0.52 of those admitted as on time were.
    """
    states = make_states()
    set_running(states, *[running] * 4)
    target, limit = timedelta(milliseconds=134), timedelta(seconds=16)
    route = Route("r", "h", "/", Repeat.STREAM, (), limit, target, 1)
    parts = (PromptPart("a", 79), PromptPart("b", 141))
    prompt = PromptTraits("m", 220, STREAM, parts)
    placement = choose_engines(prompt, (), list_engines(), states, NOW)
    margin = timedelta(milliseconds=20)
    assert admits_generation(route, placement, limit, margin) == is_admitted


def test_streams_avoid_slow_engines_before_pauses_are_known():
    """Guards against streams on slow engines while all pauses seem too long."""
    states = make_states()
    states.pauses["llm"] = timedelta(milliseconds=50)
    set_running(states, 0, 6, 6, 6)
    chosen = choose_decoder(list_engines(), states, NOW, (), STREAM)
    assert chosen.id != "e0"
