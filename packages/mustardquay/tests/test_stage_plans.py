from datetime import timedelta

from mustardquay.stage_plans import DECODER_DELAY, StagePlanner, count_decoders
from mustardquay.upstream_lists import Stage, UpstreamRecord

NOW = timedelta(seconds=30)


def make_engines(prefill, decode):
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        UpstreamRecord(f"e{n}", "llm", f"10.0.0.{n}:80", "abc"[n % 3], 64, False, stage)
        for n, stage in enumerate(stages)
    ]


def plan(planner, engines, streams=40, now=NOW, is_settled=True, ordered=None):
    return planner.plan("llm", engines, ordered or {}, streams, now, is_settled)


def test_before_callers_come_the_surplus_is_changed_at_once():
    changes = plan(StagePlanner(), make_engines(2, 4), is_settled=False)
    assert [change.stage for change in changes] == [Stage.PREFILL] * 2


def test_two_engines_generate_so_that_one_may_be_lost():
    assert count_decoders(6, 0, 26) == 2
    assert count_decoders(4, 500, 26) == 2
    assert count_decoders(24, 130, 26) == 5


def test_a_large_fleet_begins_its_day_with_enough_engines_that_generate():
    """Callers with short prompts are refused in the first ten seconds of a day.

    Before they come, the holder of the lease leaves two of 24 engines to generate. One
    of them crashes, and a change takes each other engine away for three seconds.
    """
    engines = make_engines(0, 24)
    changes = plan(StagePlanner(), engines, streams=0, is_settled=False)
    assert len(engines) - len(changes) == 5


def test_no_long_prompt_is_left_without_a_generator_for_long():
    """No caller gets an answer although four engines are idle.

    The only engine that generates is lost. Nothing is gained by waiting.
    """
    planner = StagePlanner()
    assert plan(planner, make_engines(4, 0))
    # One of two lost: it may be back before a change is carried out.
    assert plan(planner, make_engines(4, 1)) == []
    later = NOW + DECODER_DELAY
    assert len(plan(planner, make_engines(4, 1), now=later)) == 1


def make_new_engine(stage=Stage.DECODE):
    return UpstreamRecord("new", "llm", "10.0.0.9:80", "a", 64, False, stage)


def test_a_newcomer_that_is_one_too_many_changes_before_it_has_work():
    """Guards against a change in the rush that follows, seconds after its reason."""
    planner = StagePlanner()
    engines = make_engines(4, 2)
    assert plan(planner, engines) == []
    # One that reads is replaced, and the new one generates, as all that start.
    engines = [*engines[1:], make_new_engine()]
    [change] = plan(planner, engines, now=NOW + timedelta(seconds=1))
    assert (change.engine.id, change.stage) == ("new", Stage.PREFILL)


def test_a_newcomer_stays_until_the_engine_that_stood_in_has_changed():
    """Guards against one engine that generates alone while two are on their way."""
    planner = StagePlanner()
    engines = make_engines(4, 2)
    assert plan(planner, engines) == []
    engines = [*engines[:5], make_new_engine()]
    ordered = {"e0": Stage.DECODE}
    now = NOW + timedelta(seconds=1)
    assert plan(planner, engines, now=now, ordered=ordered) == []
    changed = UpstreamRecord("e0", "llm", "10.0.0.0:80", "a", 64, False, Stage.DECODE)
    now = NOW + timedelta(seconds=4)
    [change] = plan(planner, [changed, *engines[1:]], now=now)
    assert change.engine.id == "new"


def test_engines_that_a_gateway_finds_at_its_start_are_no_newcomers():
    """Guards against engines that change for each gateway that starts."""
    planner = StagePlanner()
    for second in range(3):
        now = NOW + timedelta(seconds=second)
        assert plan(planner, make_engines(3, 3), now=now) == []


def test_engines_that_are_listed_before_callers_come_are_no_newcomers():
    """Guards against generators of one zone, chosen by which record came first."""
    planner = StagePlanner()
    engines = make_engines(0, 6)
    plan(planner, engines[::3], is_settled=False)
    changes = plan(planner, engines, is_settled=False)
    changed = {change.engine.id for change in changes}
    left = [each for each in engines if each.id not in changed]
    assert len(left) == 2
    assert len({each.availability_zone for each in left}) == 2


def test_an_engine_that_was_missing_from_the_list_for_a_moment_is_no_newcomer():
    """Guards against a change of an engine whose entry lapsed as the store was away."""
    planner = StagePlanner()
    engines = make_engines(3, 3)
    assert plan(planner, engines) == []
    assert plan(planner, engines[:5], now=NOW + timedelta(seconds=1)) == []
    assert plan(planner, engines, now=NOW + timedelta(seconds=3)) == []


def test_an_engine_that_came_back_from_a_change_is_no_newcomer():
    """Guards against a number of generators that swings with each burst."""
    planner = StagePlanner()
    assert plan(planner, make_engines(4, 2)) == []
    now = NOW + timedelta(seconds=9)
    assert plan(planner, make_engines(3, 3), now=now) == []


def test_an_engine_that_is_changing_counts_as_changed():
    ordered = {"e0": Stage.DECODE}
    planner = StagePlanner()
    assert plan(planner, make_engines(5, 1), ordered=ordered) == []


def test_the_engines_that_go_on_generating_are_in_different_zones():
    engines = make_engines(0, 6)
    changes = plan(StagePlanner(), engines, is_settled=False)
    changed = {change.engine.id for change in changes}
    left = [each for each in engines if each.id not in changed]
    assert len({each.availability_zone for each in left}) == 2


def test_a_generator_that_left_is_replaced_sooner_than_one_out_of_reach():
    """Nobody gets an answer for three seconds.

    One of two engines that generate leaves, and the other one crashes while the
    gateways still wait whether the first might come back.
    """
    soon = NOW + timedelta(milliseconds=500)
    planner = StagePlanner()
    assert plan(planner, make_engines(4, 1)) == []
    assert len(plan(planner, make_engines(4, 1), now=soon)) == 1

    planner = StagePlanner()
    engines = make_engines(4, 2)
    assert planner.plan("llm", engines, {}, 40, NOW, True, lost={"e5"}) == []
    assert planner.plan("llm", engines, {}, 40, soon, True, lost={"e5"}) == []
    later = NOW + DECODER_DELAY
    assert len(planner.plan("llm", engines, {}, 40, later, True, lost={"e5"})) == 1


def test_a_large_fleet_follows_a_rise_of_streams_within_two_seconds():
    """Short prompts wait for places although most engines stand idle.

    Streams treble within a second and last for five. The mean over three seconds
    called for more engines when the rise was nearly over.
    """
    planner = StagePlanner()
    engines = make_engines(19, 5)
    plan(planner, engines, streams=80)
    changes = []
    for step in range(1, 5):
        now = NOW + timedelta(seconds=step / 2)
        changes = changes or plan(planner, engines, streams=240, now=now)
    assert len(changes) >= 2
    assert count_decoders(24, 500, 26) == 10


def plan_limited(planner, engines, capacities, now=NOW):
    return planner.plan("llm", engines, {}, 40, now, True, capacities=capacities)


def test_another_engine_stands_in_for_those_that_take_too_little():
    """Guards against callers who are refused for as long as engines name limits."""
    planner = StagePlanner()
    engines = make_engines(4, 2)
    capacities = {"e4": 0.37, "e5": 0.4}
    later = NOW + DECODER_DELAY
    assert plan_limited(planner, engines, capacities) == []
    changes = plan_limited(planner, engines, capacities, later)
    assert [change.stage for change in changes] == [Stage.DECODE]
    # With the third engine the same limits leave each a larger part of its work.
    engines = make_engines(3, 3)
    capacities = {"e4": 0.55, "e5": 0.6}
    assert plan_limited(planner, engines, capacities, 2 * later) == []


def test_limits_that_leave_most_of_the_work_change_no_engine():
    """Guards against engines that are away for seconds to gain little."""
    planner = StagePlanner()
    capacities = {"e4": 0.8, "e5": 0.8}
    for now in (NOW, 2 * NOW):
        assert plan_limited(planner, make_engines(4, 2), capacities, now) == []


def test_engines_that_read_are_left_however_low_the_limits_are():
    """Guards against a fleet in which nobody reads prompts."""
    planner = StagePlanner()
    capacities = {"e1": 0.01, "e2": 0.01}
    for now in (NOW, 2 * NOW):
        assert plan_limited(planner, make_engines(1, 2), capacities, now) == []
