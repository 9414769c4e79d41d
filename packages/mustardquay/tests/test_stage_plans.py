from datetime import timedelta

from mustardquay.stage_plans import (
    DECODER_DELAY,
    GONE_DELAY,
    PREFILLER_DELAY,
    StagePlanner,
    count_decoders,
)
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


def test_a_surplus_is_changed_at_once_before_callers_arrive():
    changes = plan(StagePlanner(), make_engines(2, 4), is_settled=False)
    assert [change.stage for change in changes] == [Stage.PREFILL] * 2


def test_at_least_two_engines_decode():
    assert count_decoders(6, 0, 26) == 2
    assert count_decoders(4, 500, 26) == 2
    assert count_decoders(24, 130, 26) == 5


def test_a_large_fleet_starts_with_enough_decode_engines():
    """Guards against refusals of short prompts in the first ten seconds of a day.

    Before callers arrive, the lease holder left two of 24 engines to decode. One of
    them crashed, and a change of stage makes each other engine unavailable for three
    seconds.
    """
    engines = make_engines(0, 24)
    changes = plan(StagePlanner(), engines, streams=0, is_settled=False)
    assert len(engines) - len(changes) == 5


def test_a_lost_decode_engine_is_replaced():
    """Guards against no answers at all while four engines are idle.

    The only decode engine is lost, so that a delay has no advantage.
    """
    planner = StagePlanner()
    assert plan(planner, make_engines(4, 0))
    # One of two is lost: it may recover before a change is carried out.
    assert plan(planner, make_engines(4, 1)) == []
    later = NOW + DECODER_DELAY
    assert len(plan(planner, make_engines(4, 1), now=later)) == 1


def make_new_engine(stage=Stage.DECODE):
    return UpstreamRecord("new", "llm", "10.0.0.9:80", "a", 64, False, stage)


def test_a_surplus_new_engine_is_changed_at_once():
    """Guards against a change seconds after its cause, in the burst that follows."""
    planner = StagePlanner()
    engines = make_engines(4, 2)
    assert plan(planner, engines) == []
    # A prefill engine is replaced; the new one decodes, as all do after a start.
    engines = [*engines[1:], make_new_engine()]
    [change] = plan(planner, engines, now=NOW + timedelta(seconds=1))
    assert (change.engine.id, change.stage) == ("new", Stage.PREFILL)


def test_a_new_engine_is_kept_until_its_substitute_has_changed():
    """Guards against a single decode engine while the stages of two are changing."""
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


def test_engines_in_the_first_list_are_not_new():
    """Guards against engines that change their stage whenever a gateway starts."""
    planner = StagePlanner()
    for second in range(3):
        now = NOW + timedelta(seconds=second)
        assert plan(planner, make_engines(3, 3), now=now) == []


def test_engines_listed_before_callers_arrive_are_not_new():
    """Guards against decode engines in one zone, chosen by the order of records."""
    planner = StagePlanner()
    engines = make_engines(0, 6)
    plan(planner, engines[::3], is_settled=False)
    changes = plan(planner, engines, is_settled=False)
    changed = {change.engine.id for change in changes}
    left = [each for each in engines if each.id not in changed]
    assert len(left) == 2
    assert len({each.availability_zone for each in left}) == 2


def test_a_briefly_unlisted_engine_is_not_new():
    """Guards against changing engines whose records expired in an outage."""
    planner = StagePlanner()
    engines = make_engines(3, 3)
    assert plan(planner, engines) == []
    assert plan(planner, engines[:5], now=NOW + timedelta(seconds=1)) == []
    assert plan(planner, engines, now=NOW + timedelta(seconds=3)) == []


def test_a_changed_engine_is_not_new():
    """Guards against a number of decode engines that oscillates with each burst."""
    planner = StagePlanner()
    assert plan(planner, make_engines(4, 2)) == []
    now = NOW + timedelta(seconds=9)
    assert plan(planner, make_engines(3, 3), now=now) == []


def test_an_engine_that_is_changing_counts_as_changed():
    ordered = {"e0": Stage.DECODE}
    planner = StagePlanner()
    assert plan(planner, make_engines(5, 1), ordered=ordered) == []


def test_remaining_decode_engines_are_in_different_zones():
    engines = make_engines(0, 6)
    changes = plan(StagePlanner(), engines, is_settled=False)
    changed = {change.engine.id for change in changes}
    left = [each for each in engines if each.id not in changed]
    assert len({each.availability_zone for each in left}) == 2


def test_a_removed_engine_is_replaced_sooner_than_an_unreachable_one():
    """Guards against three seconds without answers.

    One of two decode engines leaves, and the other one crashes while the gateways still
    wait for the first one to recover.
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


def test_a_large_fleet_follows_a_rise_within_two_seconds():
    """Guards against short prompts that wait for slots while most engines are idle.

    The number of streams triples within a second and stays for five. With a mean over
    three seconds, more engines were requested when the rise was nearly over.
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


def test_another_engine_compensates_for_rate_limits():
    """Guards against refusals for as long as engines announce rate limits."""
    planner = StagePlanner()
    engines = make_engines(4, 2)
    capacities = {"e4": 0.37, "e5": 0.4}
    later = NOW + DECODER_DELAY
    assert plan_limited(planner, engines, capacities) == []
    changes = plan_limited(planner, engines, capacities, later)
    assert [change.stage for change in changes] == [Stage.DECODE]
    # With a third engine, the same limits allow each a larger part of its work.
    engines = make_engines(3, 3)
    capacities = {"e4": 0.55, "e5": 0.6}
    assert plan_limited(planner, engines, capacities, 2 * later) == []


def test_minor_limits_change_no_engine():
    """Guards against engines that are unavailable for seconds for a small gain."""
    planner = StagePlanner()
    capacities = {"e4": 0.8, "e5": 0.8}
    for now in (NOW, 2 * NOW):
        assert plan_limited(planner, make_engines(4, 2), capacities, now) == []


def test_prefill_engines_remain_under_strict_limits():
    """Guards against a fleet without prefill engines."""
    planner = StagePlanner()
    capacities = {"e1": 0.01, "e2": 0.01}
    for now in (NOW, 2 * NOW):
        assert plan_limited(planner, make_engines(1, 2), capacities, now) == []


def count_ordered(lead, streams_per_second):
    """Return the engines ordered in the first 3 s of a load that rises steadily."""
    planner = StagePlanner()
    engines = make_engines(18, 5)
    ordered = {}
    for step in range(7):
        now = NOW + step * timedelta(seconds=0.5)
        streams = int(streams_per_second * step / 2)
        changes = planner.plan("llm", engines, ordered, streams, now, True, lead=lead)
        ordered |= {change.engine.id: change.stage for change in changes}
    return len(ordered)


def test_engines_are_ordered_for_the_streams_at_the_end_of_a_change():
    """Guards against streams that queue while an engine ordered too late changes."""
    switch_time = timedelta(seconds=3)
    assert count_ordered(timedelta(), 70) <= 1
    assert count_ordered(switch_time, 70) >= 4


def test_a_steady_load_orders_no_engine_whatever_the_lead():
    planner = StagePlanner()
    engines = make_engines(18, 5)
    for step in range(40):
        now = NOW + step * timedelta(seconds=0.5)
        streams = 110 + 6 * (step % 2)
        lead = timedelta(seconds=3)
        assert planner.plan("llm", engines, {}, streams, now, True, lead=lead) == []


def make_versions(old, new):
    """Return engines of two software versions, by whether they decode."""
    stages = [(stage, "1") for stage in old] + [(stage, "2") for stage in new]
    return [
        UpstreamRecord(
            f"e{n}",
            "llm",
            f"10.0.0.{n}:80",
            "abc"[n % 3],
            64,
            False,
            Stage.DECODE if decodes else Stage.PREFILL,
            software_version=version,
        )
        for n, (decodes, version) in enumerate(stages)
    ]


def test_an_engine_of_each_software_version_decodes():
    """Guards against streams that can go on nowhere though their version serves."""
    planner = StagePlanner()
    engines = make_versions([True, True, False], [False, False, False])
    assert plan(planner, engines) == []
    [change] = plan(planner, engines, now=NOW + GONE_DELAY)
    assert change.engine.software_version == "2"
    assert change.stage is Stage.DECODE


def test_the_last_decode_engine_of_a_software_version_stays():
    """Guards against a surplus that takes the only engine of a version that decodes."""
    planner = StagePlanner()
    engines = make_versions([True, True, False], [True, False, False])
    plan(planner, engines)
    [change] = plan(planner, engines, now=NOW + PREFILLER_DELAY)
    assert (change.engine.software_version, change.stage) == ("1", Stage.PREFILL)


def test_a_new_engine_of_a_new_software_version_goes_on_decoding():
    """Guards against a release whose engines are all made to prefill."""
    planner = StagePlanner()
    old = make_versions([True, True, False, False], [False])
    assert plan(planner, old) == []
    engines = make_versions([True, True, False, False], [False, True])
    changes = plan(planner, engines, now=NOW + timedelta(seconds=1))
    assert all(change.engine.software_version == "1" for change in changes)


def test_decode_engines_are_chosen_across_software_versions():
    engines = make_versions([True] * 4, [True] * 2)
    changes = plan(StagePlanner(), engines, streams=0, is_settled=False)
    left = [each for each in engines if each not in [c.engine for c in changes]]
    assert {each.software_version for each in left} == {"1", "2"}


def test_one_engine_of_a_software_version_may_prefill():
    """Guards against a stage plan that serves one engine at the cost of all others."""
    planner = StagePlanner()
    engines = make_versions([True, True, False, False, False], [False])
    for seconds in range(9):
        assert plan(planner, engines, now=NOW + timedelta(seconds=seconds)) == []
