"""The longest that requests of a route have lately taken."""

from datetime import timedelta

from mustardquay.route_times import HEADROOM, LEAST_SAMPLES, WINDOW, RouteTimes

SECOND = timedelta(seconds=1)


def note_many(times, longest, now=SECOND):
    for number in range(1, LEAST_SAMPLES + 1):
        times.note("r", now, longest * number / LEAST_SAMPLES)


def test_a_few_answers_tell_nothing():
    times = RouteTimes()
    for _ in range(LEAST_SAMPLES - 1):
        times.note("r", SECOND, SECOND)
    assert times.find_longest("r", SECOND) is None
    assert times.find_longest("other", SECOND) is None


def test_the_longest_counts_with_headroom():
    times = RouteTimes()
    note_many(times, SECOND)
    assert times.find_longest("r", SECOND) == HEADROOM * SECOND


def test_a_stream_may_become_as_long_as_its_caller_allows():
    times = RouteTimes()
    for _ in range(LEAST_SAMPLES):
        times.note("r", SECOND, SECOND / 10, 4 * SECOND, tokens=80)
    assert times.find_longest("r", SECOND, 20) == HEADROOM * 1.1 * SECOND
    assert times.find_longest("r", SECOND, 160) == HEADROOM * 8.1 * SECOND


def test_what_was_long_ago_is_forgotten():
    times = RouteTimes()
    note_many(times, SECOND)
    note_many(times, SECOND / 4, SECOND + WINDOW)
    assert times.find_longest("r", SECOND + WINDOW) == HEADROOM * SECOND
    note_many(times, SECOND / 4, SECOND + 2 * WINDOW)
    assert times.find_longest("r", SECOND + 2 * WINDOW) == HEADROOM * SECOND / 4
    assert times.find_longest("r", SECOND + 9 * WINDOW) is None
