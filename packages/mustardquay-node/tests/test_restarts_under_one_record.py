"""Upstreams that crash and are back under their id while the list stays as it is."""

from datetime import timedelta

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.crash_suspects import CrashReporter

UPSTREAM = UpstreamRecord("u1", "llm", "127.0.0.1:1", "a", 64, False, started_ms=7)
REQUEST, PART, OTHER_PART = 5, 11, 12
STEP = timedelta(milliseconds=500)


class Gateway:
    """A reporter, and sends to one upstream."""

    def __init__(self):
        self.clock = VirtualClock()
        self.clock.advance(timedelta(seconds=100))
        self.reporter = CrashReporter(
            self.clock, EventRing("g", HybridClock(self.clock), 50)
        )

    def crash(self, parts=(PART,)):
        self.clock.advance(STEP)
        began = self.clock.monotonic()
        self.clock.advance(STEP)
        self.reporter.note_broken_send(UPSTREAM, REQUEST, begun_at=began)
        self.reporter.parts.note_broken_send(UPSTREAM, parts, begun_at=began)
        self.reporter.note_upstream_lost(UPSTREAM.id)

    def is_refused(self, part):
        return self.reporter.parts.find_refused([part]) is not None


def test_each_crash_counts_though_the_record_is_that_of_the_first():
    """Guards against a request that crashes an upstream while no news of it comes."""
    gateway = Gateway()
    refused = []
    for _ in range(3):
        gateway.crash()
        refused.append(gateway.reporter.is_refused(REQUEST))
    assert refused == [False, False, True]


def test_each_crash_counts_against_a_part_of_prompts():
    """Guards against a part that crashes one engine again and again."""
    gateway = Gateway()
    for _ in range(5):
        gateway.crash()
    assert gateway.is_refused(PART)


def test_an_answer_after_a_restart_is_not_one_of_the_start_that_crashed():
    """Guards against an answer that takes a crash of an earlier start back."""
    gateway = Gateway()
    for _ in range(5):
        gateway.crash()
    gateway.clock.advance(STEP)
    now = gateway.clock.monotonic()
    gateway.reporter.parts.note_answered([OTHER_PART], UPSTREAM, now)
    gateway.reporter.parts.note_answered([PART], UPSTREAM, now)
    assert gateway.reporter.parts.count_crashes(PART) == 5


def test_sends_that_one_crash_cut_count_once():
    """Guards against two crashes where two sends of a request broke in one."""
    gateway = Gateway()
    gateway.crash()
    before = gateway.clock.monotonic() - 2 * STEP
    gateway.reporter.note_broken_send(UPSTREAM, REQUEST, begun_at=before)
    gateway.reporter.note_upstream_lost(UPSTREAM.id)
    assert gateway.reporter.count_crashes(REQUEST) == 1
