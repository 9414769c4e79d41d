"""What a gateway takes while it stops, and when it ends."""

from datetime import timedelta

from hypothesis import given, strategies as st

from mustardquay.stops import StopState, StopTimes, find_state, takes_request

SECOND = timedelta(seconds=1)
TIMES = StopTimes(10 * SECOND, 17 * SECOND)
MOMENTS = st.integers(9_000, 18_000).map(lambda ms: timedelta(milliseconds=ms))
LENGTHS = st.integers(0, 20_000).map(lambda ms: timedelta(milliseconds=ms))


def test_a_gateway_that_was_not_told_to_stop_takes_everything():
    assert find_state(None, 3 * SECOND, 0) is StopState.SERVING
    assert takes_request(StopState.SERVING, None, 3 * SECOND, 100 * SECOND)


@given(now=MOMENTS, longest=LENGTHS, in_flight=st.integers(0, 3))
def test_nothing_is_taken_that_may_not_end(now, longest, in_flight):
    state = find_state(TIMES, now, in_flight)
    if takes_request(state, TIMES, now, longest):
        assert now + longest < TIMES.ends_at


@given(now=MOMENTS)
def test_a_stop_ends_in_time_whatever_runs(now):
    state = find_state(TIMES, now, in_flight=1)
    assert (state is StopState.CLOSED) == (now >= TIMES.ends_at)


def test_a_short_request_is_taken_while_the_balancer_may_send_it():
    state = find_state(TIMES, 11 * SECOND, 1)
    assert takes_request(state, TIMES, 11 * SECOND, 2 * SECOND)
    assert not takes_request(state, TIMES, 11 * SECOND, 6 * SECOND)
