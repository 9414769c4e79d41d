from dataclasses import replace
from datetime import timedelta
from random import Random

from mustardquay.generation_limits import (
    MIN_RETRY_DELAY,
    admits_generation,
    admits_late,
    admits_rate_limit_wait,
    admits_take_up,
    draw_retry_delay,
    is_retry,
)
from mustardquay.placements import Placement
from mustardquay.routing_tables import Repeat, Route
from mustardquay.upstream_lists import Stage, UpstreamRecord

SECOND = timedelta(seconds=1)
ROUTE = Route("r", "h", "/", Repeat.STREAM, (), 2 * SECOND, timedelta(milliseconds=200))
ENGINE = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 64, False, Stage.DECODE)


MARGIN = timedelta(milliseconds=30)
"""Learned difference between expected and measured latency."""
VERDICT, DRAFT = 0.3, 4.4
"""Stream durations in seconds."""


def make_placement(wait, read=0.02, occupancy=0.1, stream=0.3):
    return Placement(
        ENGINE,
        ENGINE,
        None,
        read,
        wait,
        occupancy,
        0.05,
        wait + read,
        usual_seconds=0.02,
        stream_seconds=stream,
    )


def admits(placement, time_left=ROUTE.timeout):
    return admits_generation(ROUTE, placement, time_left, MARGIN)


def test_admitted_requests_are_in_time_under_overload():
    """Guards against a burst in which every answer is late, which is worth a third.

    Each second, prompts for 1.5 s of prefill arrive. Without a bound, the queue grows
    until all requests wait for longer than the target; with it, all accepted ones are
    in time.
    """
    queue, in_time, late = 0.0, 0, 0
    for _ in range(1_000):
        queue = max(queue - 0.0133, 0.0)
        if not admits(make_placement(queue)):
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
        small = admits(make_placement(wait, 0.005), SECOND)
        large = admits(make_placement(wait, 0.2), SECOND)
        assert small == large


def test_retry_delays_are_spread():
    random = Random(5)
    left = timedelta(seconds=1.9)
    returns = [draw_retry_delay(make_placement(0.2), left, random) for _ in range(200)]
    assert min(returns) >= MIN_RETRY_DELAY
    assert max(returns) <= left / 3
    assert max(returns) - min(returns) > timedelta(milliseconds=300)


def test_light_prefills_may_wait_longer():
    """Guards against refusing a draft with 15 s left and a prefill of 2 ms."""
    placement = make_placement(0.4, read=0.002)
    assert admits(placement, 15 * SECOND)
    assert not admits(make_placement(0.4), 15 * SECOND)
    assert not admits(placement)


def test_retries_are_admitted_while_their_time_suffices():
    """Guards against refusing a retry at the time given for it.

    The refusal benefits no other request: the time left is sufficient for the answer.
    """
    late = make_placement(0.5)
    left = 0.6 * ROUTE.timeout
    assert not is_retry(ROUTE, ROUTE.timeout)
    assert not admits(late, ROUTE.timeout)
    assert is_retry(ROUTE, left)
    assert admits_late(ROUTE, late, left)
    assert not admits_late(ROUTE, make_placement(1.0), left)
    assert not admits_late(ROUTE, make_placement(0.0, occupancy=1.7), left)


def test_long_answers_leave_slots_for_short_ones():
    """Guards against no verdicts for seven seconds after the loss of two engines.

    One decode engine is left. Drafts occupy its slots for seconds, and short requests
    with a finished prefill wait for a slot until their deadline.
    """
    lengths = {DRAFT: 300, VERDICT: 6}
    ends: list[tuple[int, float]] = []
    served = {DRAFT: 0, VERDICT: 0}
    for step in range(1_000):
        ends = [each for each in ends if each[0] > step]
        for stream in (DRAFT, VERDICT):
            if stream is DRAFT and step % 3:
                continue
            placement = make_placement(0.0, 0.002, len(ends) / 64, stream)
            if admits(placement, 9 * SECOND):
                ends.append((step + lengths[stream], stream))
                served[stream] += 1
    assert served[VERDICT] == 1_000
    assert served[DRAFT] > 100
    assert served[DRAFT] < 400


def test_full_engines_get_no_requests():
    assert not admits(make_placement(0.0, occupancy=1.7))
    assert admits(make_placement(0.0, occupancy=1.5))
    assert not admits(make_placement(0.0, occupancy=1.3, stream=DRAFT))


def test_long_limit_waits_are_refused_for_all_requests():
    """Guards against drafts that reserve all of an engine's rate limit in advance."""
    soon = replace(make_placement(0.0, read=0.002), decoder_limit_wait=0.1)
    late = replace(make_placement(0.0, read=0.002), decoder_limit_wait=0.5)
    assert admits_rate_limit_wait(ROUTE, soon)
    for time_left in (ROUTE.timeout, 15 * SECOND):
        assert admits(soon, time_left)
        assert not admits(late, time_left)
        assert not admits_late(ROUTE, late, 0.6 * time_left)


def test_limit_waits_during_the_prefill_cause_no_delay():
    """Guards against refusals for a rate limit wait that ends during the prefill."""
    placement = replace(make_placement(0.1, read=0.2), decoder_limit_wait=0.25)
    assert placement.limit_wait_seconds == 0.0
    assert replace(placement, reader_limit_wait=0.08).limit_wait_seconds == 0.0


def test_retry_delay_includes_the_limit_wait():
    """Guards against retries that are refused again."""
    placement = replace(make_placement(0.0), decoder_limit_wait=1.5)
    assert draw_retry_delay(placement, 2 * SECOND, Random(1)) >= 0.7 * SECOND


def test_a_stream_that_is_taken_up_goes_on_wherever_a_new_one_begins():
    """Guards against new streams that leave no capacity to those that have begun."""
    time_left = ROUTE.timeout / 2
    for occupancy in (0.1, 1.0, 1.3, 1.5, 1.7):
        for wait in (0.0, 0.05, 0.1, 0.2, 0.6):
            placement = make_placement(wait, occupancy=occupancy, stream=DRAFT)
            begins = admits(placement) or admits_late(ROUTE, placement, time_left)
            assert admits_take_up(ROUTE, placement, time_left) >= begins


def test_a_stream_that_can_not_end_in_time_is_not_taken_up():
    placement = make_placement(0.6 * ROUTE.timeout.total_seconds())
    assert not admits_take_up(ROUTE, placement, ROUTE.timeout)
