"""Stage plans of engines of different speed."""

from datetime import timedelta
from random import Random

from mustardquay.stage_capacities import DecodeSpeed
from mustardquay.stage_plans import StagePlanner
from mustardquay.upstream_lists import Stage, UpstreamRecord

NOW = timedelta(seconds=30)
FAST = DecodeSpeed(1 / 1.2)
SLOW = DecodeSpeed(1 / 0.55, is_fitting=False)


def make_engines(decoders, count=27):
    return [
        UpstreamRecord(
            f"e{n:02}",
            "llm",
            f"10.0.0.{n}:80",
            "abc"[n % 3],
            12,
            False,
            Stage.DECODE if n in decoders else Stage.PREFILL,
        )
        for n in range(count)
    ]


def make_speeds(slow, count=27):
    return {f"e{n:02}": SLOW if n in slow else FAST for n in range(count)}


def plan(planner, engines, speeds, streams=38, now=NOW, is_settled=True):
    return planner.plan("llm", engines, {}, streams, now, is_settled, speeds=speeds)


def list_changed(engines, speeds, streams=38):
    """Return the changes that are due after ten seconds of the same load."""
    planner = StagePlanner()
    changes = []
    for second in range(10):
        now = NOW + timedelta(seconds=second)
        changes = plan(planner, engines, speeds, streams, now)
    return changes


def test_fast_engines_are_chosen_to_decode():
    """Guards against streams that pause for too long while fast engines prefill."""
    slow = range(7)
    changes = plan(StagePlanner(), make_engines(()), make_speeds(slow), 0, NOW, False)
    assert changes
    assert not {int(each.engine.id[1:]) for each in changes} & set(slow)


def test_slow_engines_are_the_first_to_prefill_again():
    """Guards against a surplus that takes fast engines from streams."""
    engines, speeds = make_engines(range(12)), make_speeds((0, 5, 20))
    changes = list_changed(engines, speeds, streams=10)
    assert {"e00", "e05"} <= {each.engine.id for each in changes}


def test_slow_decode_engines_are_not_exchanged_while_fast_ones_suffice():
    """Guards against changes that take engines away for 3 s without need."""
    slow = (0, 1, 10, 11, 12, 13, 14)
    assert list_changed(make_engines(range(8)), make_speeds(slow)) == []


def test_a_fast_engine_is_added_if_too_few_keep_the_pauses():
    """Guards against streams of which most are on engines that pause too long."""
    slow = range(7)
    changes = list_changed(make_engines(range(8)), make_speeds(slow))
    assert changes
    assert all(each.stage is Stage.DECODE for each in changes)
    assert all(int(each.engine.id[1:]) >= 7 for each in changes)


def test_no_engine_is_exchanged_if_none_keeps_the_pauses():
    """Guards against changes that bring nothing, again and again."""
    speeds = {f"e{n:02}": DecodeSpeed(1.0, is_fitting=False) for n in range(27)}
    assert list_changed(make_engines(range(8)), speeds) == []


def test_a_load_that_turns_over_changes_no_more_stages_than_without_speeds():
    """Guards against plans that follow each turn of the mix, of 2.8 s."""

    def count_changes(speeds):
        engines, planner, random = make_engines(range(8)), StagePlanner(), Random(1)
        changes = 0
        for step in range(120):
            now = NOW + step * timedelta(milliseconds=500)
            streams = (
                random.randint(50, 60) if step // 6 % 2 else random.randint(25, 35)
            )
            for change in plan(planner, engines, speeds, streams, now):
                changes += 1
                index = engines.index(change.engine)
                decoders = {
                    n for n, each in enumerate(engines) if each.stage is Stage.DECODE
                }
                engines = make_engines(decoders ^ {index})
        return changes

    speeds = make_speeds((0, 3, 10, 11, 12, 13, 14))
    assert count_changes(speeds) <= count_changes(None)


def test_few_engines_that_keep_the_pauses_do_not_turn_all_to_decode():
    """Guards against a plan that goes on to add engines which don't keep the pauses."""
    decoders, slow = set(range(8)), set(range(2, 27))
    planner, speeds = StagePlanner(), make_speeds(slow)
    for second in range(60):
        now = NOW + timedelta(seconds=second)
        changes = plan(planner, make_engines(decoders), speeds, now=now)
        for change in changes:
            number = int(change.engine.id[1:])
            if change.stage is Stage.DECODE:
                decoders.add(number)
            else:
                decoders.discard(number)
    assert len(decoders) <= 27 // 2
