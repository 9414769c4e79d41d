"""Which requests a stopping gateway accepts, and when it exits."""

from datetime import timedelta

from hypothesis import given, strategies as st

from mustardquay.route_times import LongestTimes
from mustardquay.stops import (
    RequestEstimate,
    StopState,
    StopTimes,
    admit_request,
    find_state,
)

SECOND = timedelta(seconds=1)
TIMES = StopTimes(10 * SECOND, 17 * SECOND)
MOMENTS = st.integers(9_000, 18_000).map(lambda ms: timedelta(milliseconds=ms))
LENGTHS = st.integers(0, 20_000).map(lambda ms: timedelta(milliseconds=ms))
ESTIMATES = st.builds(
    RequestEstimate,
    LENGTHS,
    st.none() | st.builds(LongestTimes, LENGTHS, LENGTHS),
    st.integers(0, 200),
    st.booleans(),
    st.booleans(),
)
LEAVING = StopState.LEAVING


def test_a_gateway_without_a_stop_serves():
    assert find_state(None, 3 * SECOND, 0) is StopState.SERVING


@given(now=MOMENTS, estimate=ESTIMATES, in_flight=st.integers(0, 3))
def test_an_accepted_request_ends_in_time_or_can_be_cut_off_safely(
    now, estimate, in_flight
):
    state = find_state(TIMES, now, in_flight)
    begin_by = admit_request(state, TIMES, now, estimate)
    if begin_by is None:
        return
    assert now <= begin_by <= TIMES.answer_by
    ends_by_itself = now + estimate.time_allowed <= TIMES.answer_by
    assert ends_by_itself or not estimate.is_stream or estimate.is_resumable


@given(now=MOMENTS)
def test_a_stop_ends_in_time_whatever_runs(now):
    state = find_state(TIMES, now, in_flight=1)
    assert (state is StopState.CLOSED) == (now >= TIMES.ends_at)


def test_a_request_with_a_short_timeout_is_accepted():
    assert admit_request(LEAVING, TIMES, 11 * SECOND, RequestEstimate(2 * SECOND, None))
    assert not admit_request(
        LEAVING, TIMES, 11 * SECOND, RequestEstimate(6 * SECOND, None)
    )
    draining = StopState.DRAINING
    assert not admit_request(
        draining, TIMES, 11 * SECOND, RequestEstimate(SECOND, None)
    )


def test_a_plain_request_is_accepted_by_the_times_of_its_route():
    estimate = RequestEstimate(15 * SECOND, LongestTimes(SECOND, 0 * SECOND))
    begin_by = admit_request(LEAVING, TIMES, 15 * SECOND, estimate)
    assert begin_by == TIMES.answer_by
    assert not admit_request(LEAVING, TIMES, 16 * SECOND, estimate)


def test_a_stream_is_accepted_by_its_events_only_early_in_a_stop():
    """Guards against truncating a stream that was accepted late in a stop.

    By its number of events it was expected to end in time, but each event took longer
    than before.
    """
    longest = LongestTimes(SECOND, SECOND / 20)
    estimate = RequestEstimate(
        15 * SECOND, longest, 40, is_stream=True, is_resumable=True
    )
    assert admit_request(LEAVING, TIMES, 11 * SECOND, estimate)
    assert not admit_request(LEAVING, TIMES, 13 * SECOND, estimate)
    unresumable = RequestEstimate(15 * SECOND, longest, 40, is_stream=True)
    assert not admit_request(LEAVING, TIMES, 11 * SECOND, unresumable)
