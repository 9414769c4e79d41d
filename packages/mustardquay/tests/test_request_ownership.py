"""Owners of requests: when a caller's connection may be closed, and how."""

from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mustardquay.request_ownership import (
    PASS_INTERVAL,
    ClosingStep,
    ConnectionPhase,
    FinalPasses,
    Occasion,
    RequestOwnership,
    RunningClock,
    decide_step,
)
from mustardquay.request_ownership.final_passes import (
    INCOMPLETE_PASSES,
    LEAST_PASSES,
    MOST_PASSES,
)

P = ConnectionPhase
SECOND = timedelta(seconds=1)
LATER = 60 * SECOND
EMPTY_ONLY = (Occasion.IDLE_LIMIT, Occasion.SHORTAGE, Occasion.STOP)
"""Occasions on which only empty connections are closed."""
BEFORE_THE_END = [each for each in Occasion if each is not Occasion.STOP_OVER]
STALLED = (Occasion.MEMORY, Occasion.UNREAD)
"""Occasions on which a caller has stopped reading its answer."""
IN_GOOD_ORDER = [each for each in BEFORE_THE_END if each not in STALLED]
UNANSWERED = (P.OWNED, P.ANSWERING, P.FLUSHING)


def test_a_request_passes_through_all_phases():
    ownership = RequestOwnership()
    seen = [ownership.phase]
    for note in (
        lambda: ownership.note_bytes(10),
        ownership.note_whole,
        ownership.note_answer_begun,
        ownership.note_answer_ended,
        lambda: ownership.note_next(has_bytes=False),
    ):
        note()
        seen.append(ownership.phase)
    assert seen == [P.EMPTY, P.READING, P.OWNED, P.ANSWERING, P.FLUSHING, P.EMPTY]
    assert ownership.bytes_read == 10


def test_a_request_that_was_refused_before_its_end_is_not_handled():
    """Guards against two answers to one request."""
    ownership = RequestOwnership()
    ownership.note_bytes(10)
    ownership.note_answer_begun()
    ownership.note_answer_ended()
    assert not ownership.note_whole()
    assert ownership.phase is P.FLUSHING


def test_bytes_of_a_next_request_are_not_empty():
    ownership = RequestOwnership()
    ownership.note_bytes(10)
    assert ownership.note_whole()
    ownership.note_answer_begun()
    ownership.note_answer_ended()
    ownership.note_next(has_bytes=True)
    assert (ownership.phase, ownership.is_whole) == (P.READING, False)


@pytest.mark.parametrize("occasion", Occasion)
def test_a_connection_without_a_byte_may_be_closed(occasion):
    assert decide_step(P.EMPTY, occasion, False) is ClosingStep.CLOSE


@pytest.mark.parametrize("occasion", BEFORE_THE_END)
@pytest.mark.parametrize("phase", [P.EMPTY, P.READING])
def test_bytes_that_are_there_go_before_any_limit(phase, occasion):
    """Guards against a request in the kernel whose connection is closed."""
    assert decide_step(phase, occasion, True) is ClosingStep.KEEP


@pytest.mark.parametrize("has_unread", [False, True])
@pytest.mark.parametrize("occasion", IN_GOOD_ORDER)
@pytest.mark.parametrize("phase", UNANSWERED)
def test_no_limit_closes_a_connection_that_is_owed_an_answer(
    phase, occasion, has_unread
):
    assert decide_step(phase, occasion, has_unread) is ClosingStep.KEEP


@pytest.mark.parametrize("has_unread", [False, True])
@pytest.mark.parametrize("occasion", STALLED)
def test_a_stalled_caller_loses_only_an_answer_that_has_begun(occasion, has_unread):
    """Guards against a request that is cut while an upstream works on it."""
    steps = [decide_step(each, occasion, has_unread) for each in UNANSWERED]
    assert steps == [ClosingStep.KEEP, ClosingStep.CUT, ClosingStep.CUT]


def test_what_is_incomplete_is_answered():
    steps = {each: decide_step(P.READING, each, False) for each in Occasion}
    assert steps == {
        Occasion.IDLE_LIMIT: ClosingStep.KEEP,
        Occasion.HEADER_LIMIT: ClosingStep.TIME_OUT,
        Occasion.SHORTAGE: ClosingStep.KEEP,
        Occasion.MEMORY: ClosingStep.REFUSE,
        Occasion.UNREAD: ClosingStep.REFUSE,
        Occasion.STOP: ClosingStep.KEEP,
        Occasion.STOP_INCOMPLETE: ClosingStep.REFUSE,
        Occasion.STOP_OVER: ClosingStep.REFUSE,
    }


@pytest.mark.parametrize("has_unread", [False, True])
def test_at_the_end_nothing_is_kept(has_unread):
    steps = [decide_step(each, Occasion.STOP_OVER, has_unread) for each in P]
    assert ClosingStep.KEEP not in steps


def test_a_running_clock_leaves_out_pauses():
    clock = RunningClock(SECOND, longest_step=SECOND / 10)
    assert clock.advance(SECOND * 1.05) == SECOND / 20
    assert clock.read(SECOND * 1.10) == SECOND / 10
    assert clock.advance(SECOND * 9) == SECOND * 0.15


def test_a_running_clock_does_not_go_back():
    clock = RunningClock(SECOND, longest_step=SECOND)
    assert clock.read(SECOND / 2) == timedelta()


def list_occasions(passes, count, read=lambda number: 0, step=PASS_INTERVAL):
    return [
        passes.begin_pass(read(number), number * step) for number in range(1, count + 1)
    ]


def test_an_incomplete_request_gets_its_passes_in_a_late_process():
    """Guards against a bound by the clock, which is over before anything is read."""
    occasions = list_occasions(FinalPasses(LATER), INCOMPLETE_PASSES + 1, step=SECOND)
    assert occasions == [Occasion.STOP] * INCOMPLETE_PASSES + [Occasion.STOP_INCOMPLETE]


def test_a_process_that_is_killed_soon_still_reads():
    """Guards against an exit without a look at the sockets after a long hold."""
    occasions = list_occasions(FinalPasses(timedelta()), LEAST_PASSES + 1)
    assert occasions == [Occasion.STOP] * LEAST_PASSES + [Occasion.STOP_OVER]


def test_a_request_that_still_arrives_is_awaited():
    occasions = list_occasions(FinalPasses(LATER), MOST_PASSES + 1, read=int)
    assert occasions == [Occasion.STOP] * MOST_PASSES + [Occasion.STOP_OVER]


def test_the_passes_end_before_the_platform_kills_the_process():
    assert MOST_PASSES * PASS_INTERVAL <= SECOND / 2


class ConnectionMachine(RuleBasedStateMachine):
    """One connection, its caller, and a process that may be held up at any time.

    The caller sends requests in parts. The loop reads what is in the kernel, handles
    whole requests, and writes answers; each of it may come late. Limits run out, the
    process stops, and its last passes begin, at any moment.
    """

    @initialize()
    def open(self):
        self.ownership = RequestOwnership()
        self.kernel = 0
        """Bytes that the caller has sent and nobody has read."""
        self.buffered = 0
        """Bytes that were read and not parsed."""
        self.needed = 2
        """Bytes of one request."""
        self.handled = 0
        self.answered = 0
        self.refused = 0
        self.is_closed = False
        self.passes = None
        self.passes_made = 0
        self.now = timedelta()
        self.total = 0
        self.is_refused = False

    @precondition(lambda self: not self.is_closed and self.kernel < 6)
    @rule(size=st.integers(1, 3))
    def send(self, size):
        self.kernel += size

    @precondition(lambda self: not self.is_closed and self.kernel)
    @rule()
    def read(self):
        self.buffered += self.kernel
        self.total += self.kernel
        self.ownership.note_bytes(self.kernel)
        self.kernel = 0

    @precondition(lambda self: not self.is_closed and self.buffered >= self.needed)
    @rule()
    def parse(self):
        if self.ownership.phase is P.READING or self.is_refused:
            self.buffered -= self.needed
            if self.ownership.note_whole():
                self.handled += 1

    @precondition(lambda self: self.ownership.phase in (P.OWNED, P.ANSWERING))
    @rule(is_whole=st.booleans())
    def answer(self, is_whole):
        self.ownership.note_answer_begun()
        if is_whole:
            self.ownership.note_answer_ended()

    @precondition(lambda self: self.ownership.phase is P.FLUSHING)
    @rule()
    def flush(self):
        if self.is_refused:
            self.refused += 1
            self.close()
            return
        self.answered += 1
        self.ownership.note_next(self.buffered > 0)

    @precondition(lambda self: not self.is_closed)
    @rule(occasion=st.sampled_from(EMPTY_ONLY))
    def reach(self, occasion):
        self.apply(occasion)

    @precondition(lambda self: self.ownership.phase is P.READING)
    @rule()
    def reach_header_limit(self):
        self.apply(Occasion.HEADER_LIMIT)

    @rule()
    def stop(self):
        if self.passes is None:
            self.passes = FinalPasses(self.now + SECOND / 2)

    @precondition(lambda self: self.passes is not None and not self.is_closed)
    @rule(hold=st.sampled_from([PASS_INTERVAL, SECOND / 10, SECOND]))
    def make_pass(self, hold):
        self.now += hold
        self.passes_made += 1
        occasion = self.passes.begin_pass(self.total, self.now)
        self.apply(occasion)
        if occasion is Occasion.STOP_OVER and not self.is_closed:
            # The refusal is written before the second application.
            if self.is_refused and self.ownership.phase is P.FLUSHING:
                self.flush()
            self.apply(occasion)

    def apply(self, occasion):
        if self.is_closed:
            return
        phase, has_unread = self.ownership.phase, self.kernel > 0
        step = decide_step(phase, occasion, has_unread)
        if step is ClosingStep.KEEP:
            return
        if step is ClosingStep.CLOSE:
            assert (phase, has_unread, self.buffered) == (P.EMPTY, False, 0)
            self.close()
        elif step is ClosingStep.CUT:
            assert occasion is Occasion.STOP_OVER
            assert phase in UNANSWERED
            self.close()
        else:
            assert phase in (P.EMPTY, P.READING)
            self.is_refused = True
            self.ownership.note_bytes(0)
            self.ownership.note_answer_begun()
            self.ownership.note_answer_ended()

    def close(self):
        self.is_closed = True
        self.ownership.note_closed()

    @invariant()
    def each_whole_request_has_one_answer(self):
        waiting = self.ownership.is_unanswered and not self.is_refused
        is_cut = self.is_closed and self.passes_made > LEAST_PASSES
        if not is_cut:
            assert self.handled == self.answered + waiting
        assert self.answered <= self.handled
        assert self.refused <= 1

    @invariant()
    def the_process_ends_within_its_bound(self):
        assert self.passes_made * PASS_INTERVAL <= SECOND / 2


ConnectionMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
)
TestConnections = ConnectionMachine.TestCase
