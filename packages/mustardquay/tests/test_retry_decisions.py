from dataclasses import replace
from datetime import timedelta

import pytest

from mustardquay.requests import SendResult
from mustardquay.retry_decisions import NextStep, SendHistory, decide_next
from mustardquay.routing_tables import Repeat, Route

SECOND = timedelta(seconds=1)
ONCE = Route("r", "h", "/", Repeat.AT_MOST_ONCE, (), SECOND, SECOND, max_attempts=3)
AGAIN = replace(ONCE, repeat=Repeat.IDEMPOTENT)
STREAM = replace(ONCE, repeat=Repeat.STREAM)
RESUMABLE = replace(STREAM, resumable=True)


def decide(route, end, status=0, has_sent_events=False, before=(), left=SECOND):
    history = SendHistory(has_sent_events=has_sent_events)
    for earlier in (*before, end):
        history.note(earlier)
    return decide_next(route, history, end, status, left)


@pytest.mark.parametrize("end", [SendResult.BROKEN, SendResult.CALLER_LEFT])
@pytest.mark.parametrize("route", [ONCE, STREAM])
def test_what_may_have_run_and_must_not_be_repeated_fails(route, end):
    """Guards against an alert that is sent twice.

    Its upstream runs it, the connection breaks before the answer, and the gateway must
    not send it to another upstream.
    """
    assert decide(route, end) is NextStep.FAIL


@pytest.mark.parametrize("route", [ONCE, STREAM, AGAIN, RESUMABLE])
@pytest.mark.parametrize("end", [SendResult.NOT_RUN, SendResult.NOT_SENT])
def test_a_request_that_was_confirmed_not_run_is_sent_again(route, end):
    assert decide(route, end) is NextStep.SEND_AGAIN


def test_not_run_after_a_send_that_may_have_run_is_a_failure():
    """Guards against a caller repeating a booking that was already made.

    The connections to two upstreams broke and the third upstream is full. "Not run"
    would be wrong although it is true of the last send.
    """
    route = replace(AGAIN, max_attempts=2)
    step = decide(route, SendResult.NOT_RUN, before=[SendResult.BROKEN] * 2)
    assert step is NextStep.FAIL
    late = timedelta(milliseconds=5)
    step = decide(route, SendResult.NOT_RUN, before=[SendResult.BROKEN], left=late)
    assert step is NextStep.FAIL


@pytest.mark.parametrize("refusals", [1, 5])
def test_a_refusal_uses_up_no_attempt_of_a_stream_that_has_begun(refusals):
    """Guards against a stream that is cut as the next upstream was full."""
    route = replace(RESUMABLE, max_attempts=2)
    before = [SendResult.BROKEN, *[SendResult.NOT_RUN] * (refusals - 1)]
    step = decide(route, SendResult.NOT_RUN, has_sent_events=True, before=before)
    assert step is NextStep.RESUME


def test_a_refusal_uses_up_no_attempt_before_a_crash():
    """Guards against a request that fails though it ran at one of two upstreams."""
    route = replace(AGAIN, max_attempts=2)
    step = decide(route, SendResult.BROKEN, before=[SendResult.NOT_RUN])
    assert step is NextStep.SEND_AGAIN


def test_what_nothing_has_run_is_refused_after_as_many_refusals_as_attempts():
    """Guards against a request that asks every full upstream."""
    route = replace(AGAIN, max_attempts=2)
    step = decide(route, SendResult.NOT_RUN, before=[SendResult.NOT_RUN])
    assert step is NextStep.REFUSE


def test_the_attempts_of_the_route_bound_the_sends():
    route = replace(ONCE, max_attempts=1)
    assert decide(route, SendResult.NOT_RUN) is NextStep.REFUSE
    assert decide(route, SendResult.NOT_SENT) is NextStep.SEND_AGAIN


def test_a_failure_of_the_upstream_is_repeated_only_where_that_is_allowed():
    assert decide(AGAIN, SendResult.ANSWERED, 500) is NextStep.SEND_AGAIN
    assert decide(AGAIN, SendResult.ANSWERED, 404) is NextStep.PASS_ON
    assert decide(ONCE, SendResult.ANSWERED, 500) is NextStep.PASS_ON


def test_a_broken_stream_goes_on_only_where_it_may_be_resumed():
    broken = SendResult.BROKEN
    assert decide(RESUMABLE, broken, has_sent_events=True) is NextStep.RESUME
    assert decide(STREAM, broken, has_sent_events=True) is NextStep.FAIL
    assert decide(AGAIN, broken, has_sent_events=True) is NextStep.FAIL


def test_nothing_is_sent_without_time_for_an_answer():
    short = timedelta(milliseconds=5)
    assert decide(AGAIN, SendResult.NOT_RUN, left=short) is NextStep.REFUSE


def test_sends_to_a_reassigned_address_are_limited():
    other = SendResult.OTHER_UPSTREAM
    assert decide(ONCE, other) is NextStep.SEND_AGAIN
    assert decide(ONCE, other, before=[other]) is NextStep.REFUSE


def test_a_stream_is_resumed_only_if_it_is_known_where_it_began():
    """Guards against a stream that goes on at another software version."""
    for is_known, step in ((True, NextStep.RESUME), (False, NextStep.FAIL)):
        history = SendHistory(has_sent_events=True, is_origin_known=is_known)
        history.note(SendResult.BROKEN)
        assert decide_next(RESUMABLE, history, SendResult.BROKEN, 0, SECOND) is step
