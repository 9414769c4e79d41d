"""Requests with one text, of which some crash upstreams: who is refused, and when."""

from datetime import timedelta

import pytest

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.crash_suspects import CrashReporter
from mustardquay_node.digest_frames import decode_crashes, encode_crashes

TEXT = 99
DEADLY, SAME_TEXT, OTHER_TEXT = 1, 2, 3


def make_reporter():
    clock = VirtualClock()
    clock.advance(timedelta(seconds=100))
    return CrashReporter(clock, EventRing("g", HybridClock(clock), 50))


def crash(reporter, number, *requests):
    """Crash an upstream under requests, given as fingerprint and text."""
    upstream = UpstreamRecord(
        f"u-{number}", "llm", "127.0.0.1:1", "a", 64, False, started_ms=number
    )
    for fingerprint, text in requests:
        reporter.note_broken_send(upstream, fingerprint, text=text)
    reporter.note_upstream_lost(upstream.id)


@pytest.fixture
def reporter():
    """Return a reporter that has seen three crashes under one request alone."""
    reporter = make_reporter()
    for number in range(3):
        crash(reporter, number, (DEADLY, TEXT))
    return reporter


def test_a_sibling_of_a_deadly_request_is_refused_after_one_crash_of_its_own(reporter):
    assert not reporter.is_refused(SAME_TEXT)
    crash(reporter, 7, (SAME_TEXT, TEXT), (OTHER_TEXT, 50))
    assert reporter.is_refused(SAME_TEXT)
    assert not reporter.is_refused(OTHER_TEXT)


def test_a_sibling_that_was_in_flight_beside_the_deadly_one_is_not_refused():
    """Guards against refusing a session for the crashes of one of its requests."""
    reporter = make_reporter()
    for number in range(3):
        crash(reporter, number, (DEADLY, TEXT), (SAME_TEXT + number * 10, TEXT))
    assert reporter.is_refused(DEADLY)
    assert not any(reporter.is_refused(SAME_TEXT + number * 10) for number in range(3))


def test_an_answered_sibling_is_not_refused(reporter):
    crash(reporter, 7, (SAME_TEXT, TEXT))
    reporter.note_answer(SAME_TEXT, "r", "u-8")
    assert not reporter.is_refused(SAME_TEXT)


def test_other_gateways_learn_which_text_a_request_has(reporter):
    """Guards against a sibling that is refused only where all crashes were seen."""
    other = make_reporter()
    other.merge(decode_crashes(encode_crashes(reporter.take_news(12))))
    crash(other, 7, (SAME_TEXT, TEXT))
    assert other.is_refused(SAME_TEXT)
    reporter.merge(decode_crashes(encode_crashes(other.take_news(12))))
    assert reporter.is_refused(SAME_TEXT)
