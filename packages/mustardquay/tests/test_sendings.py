from dataclasses import replace
from datetime import timedelta

import pytest

from mustardquay.requests import SendResult
from mustardquay.routing_tables import Repeat, Route
from mustardquay.sendings import NextStep, Sendings, decide_next

SECOND = timedelta(seconds=1)
ONCE = Route("r", "h", "/", Repeat.AT_MOST_ONCE, (), SECOND, SECOND, max_attempts=3)
AGAIN = replace(ONCE, repeat=Repeat.IDEMPOTENT)
STREAM = replace(ONCE, repeat=Repeat.STREAM)
RESUMABLE = replace(STREAM, resumable=True)


def decide(route, end, status=0, events_passed=False, before=(), left=SECOND):
    sendings = Sendings(events_passed=events_passed)
    for earlier in (*before, end):
        sendings.note(earlier)
    return decide_next(route, sendings, end, status, left)


@pytest.mark.parametrize("end", [SendResult.BROKEN, SendResult.CALLER_LEFT])
@pytest.mark.parametrize("route", [ONCE, STREAM])
def test_what_may_have_run_and_must_not_be_repeated_fails(route, end):
    """An alert goes out twice.

    Its upstream runs it, the connection breaks before the answer, and the gateway
    sends it to the next upstream.
    """
    assert decide(route, end) is NextStep.FAIL


@pytest.mark.parametrize("route", [ONCE, STREAM, AGAIN, RESUMABLE])
@pytest.mark.parametrize("end", [SendResult.NOT_RUN, SendResult.NOT_SENT])
def test_what_was_affirmed_not_to_have_run_is_sent_again(route, end):
    assert decide(route, end) is NextStep.SEND_AGAIN


def test_a_refusal_after_a_send_that_may_have_run_is_no_refusal():
    """A booking is made again by its caller although it was made.

    The first upstream broke off, the second one is full. To say "not run" because
    the last send was not run would be false.
    """
    route = replace(AGAIN, max_attempts=2)
    step = decide(route, SendResult.NOT_RUN, before=[SendResult.BROKEN])
    assert step is NextStep.FAIL


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
    assert decide(RESUMABLE, broken, events_passed=True) is NextStep.RESUME
    assert decide(STREAM, broken, events_passed=True) is NextStep.FAIL
    assert decide(AGAIN, broken, events_passed=True) is NextStep.FAIL


def test_nothing_is_sent_without_time_for_an_answer():
    short = timedelta(milliseconds=5)
    assert decide(AGAIN, SendResult.NOT_RUN, left=short) is NextStep.REFUSE


def test_an_address_that_changed_hands_is_not_tried_for_ever():
    other = SendResult.OTHER_UPSTREAM
    assert decide(ONCE, other) is NextStep.SEND_AGAIN
    assert decide(ONCE, other, before=[other]) is NextStep.REFUSE
