from datetime import timedelta
from random import Random

from mustardquay.generation_limits import (
    EARLIEST_RETURN,
    admits_generation,
    draw_return,
)
from mustardquay.placements import Placement
from mustardquay.routing_tables import Repeat, Route
from mustardquay.upstream_lists import Stage, UpstreamRecord

SECOND = timedelta(seconds=1)
ROUTE = Route("r", "h", "/", Repeat.STREAM, (), 2 * SECOND, timedelta(milliseconds=200))
ENGINE = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 64, False, Stage.DECODE)


def make_placement(wait, read=0.02):
    return Placement(ENGINE, ENGINE, None, read, wait, wait + read)


def test_callers_get_answers_in_time_while_more_is_asked_than_can_be_read():
    """In a burst every answer is late, and late ones are worth a third.

    Prompts for 1.5 s come in each second. Without a bound the queue grows until all
    wait for longer than the target; with it, those that are accepted are in time.
    """
    queue, in_time, late = 0.0, 0, 0
    for _ in range(1_000):
        queue = max(queue - 0.0133, 0.0)
        if not admits_generation(ROUTE, make_placement(queue), SECOND):
            continue
        queue += 0.02
        if queue + 0.06 <= ROUTE.latency_target.total_seconds():
            in_time += 1
        else:
            late += 1
    assert in_time > 600
    assert late == 0


def test_a_large_prompt_is_not_refused_more_often_than_a_small_one():
    for wait in (0.0, 0.05, 0.12, 0.2):
        small = admits_generation(ROUTE, make_placement(wait, 0.005), SECOND)
        large = admits_generation(ROUTE, make_placement(wait, 0.2), SECOND)
        assert small == large


def test_those_refused_together_come_back_apart_and_in_time():
    random = Random(5)
    left = timedelta(seconds=1.9)
    returns = [draw_return(make_placement(0.2), left, random) for _ in range(200)]
    assert min(returns) >= EARLIEST_RETURN
    assert max(returns) <= left / 3
    assert max(returns) - min(returns) > timedelta(milliseconds=300)


def test_what_is_read_in_a_moment_is_not_refused_for_a_short_wait():
    """A draft is refused although there are 15 s for it and it takes 2 ms to read."""
    placement = make_placement(0.4, read=0.002)
    assert admits_generation(ROUTE, placement, 15 * SECOND)
    assert not admits_generation(ROUTE, make_placement(0.4), 15 * SECOND)
    assert not admits_generation(ROUTE, placement, SECOND)
