"""The longest recent times of the requests of a route."""

from datetime import timedelta

from mustardquay.route_times import HEADROOM, MIN_SAMPLES, WINDOW, RouteTimes

SECOND = timedelta(seconds=1)


def note_many(times, longest, now=SECOND):
    for number in range(1, MIN_SAMPLES + 1):
        times.note("r", now, longest * number / MIN_SAMPLES)


def test_too_few_answers_give_no_estimate():
    times = RouteTimes()
    for _ in range(MIN_SAMPLES - 1):
        times.note("r", SECOND, SECOND)
    assert times.find_longest("r", SECOND) is None
    assert times.find_longest("other", SECOND) is None


def test_the_longest_counts_with_headroom():
    times = RouteTimes()
    note_many(times, SECOND)
    assert times.find_longest("r", SECOND).first == HEADROOM * SECOND


def test_a_stream_may_become_as_long_as_its_caller_allows():
    times = RouteTimes()
    for _ in range(MIN_SAMPLES):
        times.note("r", SECOND, SECOND / 10, 4 * SECOND, events=80)
    longest = times.find_longest("r", SECOND)
    assert longest.first == HEADROOM * SECOND / 10
    assert longest.predict_stream(20) == HEADROOM * 1.1 * SECOND
    assert longest.predict_stream(160) == HEADROOM * 8.1 * SECOND


def test_old_answers_expire():
    times = RouteTimes()
    note_many(times, SECOND)
    note_many(times, SECOND / 4, SECOND + WINDOW)
    assert times.find_longest("r", SECOND + WINDOW).first == HEADROOM * SECOND
    note_many(times, SECOND / 4, SECOND + 2 * WINDOW)
    longest = times.find_longest("r", SECOND + 2 * WINDOW)
    assert longest.first == HEADROOM * SECOND / 4
    assert times.find_longest("r", SECOND + 9 * WINDOW) is None


def test_requests_that_still_wait_count_by_their_age():
    """Guards against a stopping gateway that relies on fast answers only and accepts
    requests that it can't complete.
    """
    times = RouteTimes()
    note_many(times, SECOND / 10)
    waiting = times.begin("r", SECOND)
    times.begin("other", SECOND / 2)
    now = 2 * SECOND
    assert times.find_longest("r", now).first == HEADROOM * SECOND
    times.end(waiting)
    times.end(waiting)
    assert times.find_longest("r", now).first == HEADROOM * SECOND / 10


def test_fifteen_fast_answers_are_too_few_for_an_estimate():
    """Guards against accepting a request late in a stop because of too few samples."""
    times = RouteTimes()
    for number in range(15):
        times.note("r", SECOND, SECOND / 1000 * (10 + 20 * number))
    assert times.find_longest("r", SECOND) is None
