"""Bytes that slow readers hold, and what is done near the limit, without a network."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings, strategies as st
from simulated_readers import find_fixed, find_none, play

from mustardquay.memory_limits import (
    READ_SIZE,
    STALL_TIME,
    ClosingReason,
    Ledger,
    MemoryLimits,
    RefusalSpan,
    draw_retry_after,
    find_closing,
    find_limits,
)

STEADY = settings(derandomize=True, deadline=None, database=None, max_examples=150)
START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
LIMITS = MemoryLimits(32_000_000)
NO_REFUSALS = timedelta()


def fill(ledger, sizes, now=START):
    """Open a connection for each size, with that much waiting for its caller."""
    opened = [ledger.open(now) for _ in sizes]
    for held, size in zip(opened, sizes, strict=True):
        held.note_unsent(size, 0, now)
    return opened


def read_ahead(limits, callers, rounds=2_000):
    """Return what a ledger holds for callers that take nothing of large streams."""
    ledger = Ledger()
    opened = [ledger.open(START) for _ in range(callers)]
    for _ in range(rounds):
        for held in opened:
            if not held.unsent or held.unsent < limits.find_read_ahead(ledger.total):
                held.note_unsent(held.unsent + READ_SIZE, 0, START)
    return ledger


def test_without_a_setting_there_are_no_limits():
    """Guards against limits where the operator has set none."""
    assert find_limits(0, 50_000_000) is None


@pytest.mark.parametrize("resident", [60_000_000, 159_000_000, 400_000_000])
def test_a_process_that_is_large_from_the_start_still_serves(resident):
    """Guards against a budget of nothing, by which every request would be refused."""
    limits = find_limits(160, resident)
    assert limits.admits(0, 4_194_304)
    assert limits.budget <= 100_000_000


@pytest.mark.parametrize("callers", [1, 4, 28, 100])
def test_callers_that_read_nothing_refuse_nobody(callers):
    """Guards against slow readers that keep other callers out."""
    ledger = read_ahead(LIMITS, callers)
    assert ledger.total <= LIMITS.budget / 2 + callers * READ_SIZE
    assert LIMITS.admits(ledger.total, 0)


def test_a_single_slow_caller_may_hold_a_lot():
    """Guards against an upstream that aborts though there is memory for its answer."""
    assert read_ahead(LIMITS, 1).total >= LIMITS.budget / 6


def test_many_slow_callers_get_similar_parts():
    """Guards against early callers that leave nothing to those after them."""
    ledger = read_ahead(LIMITS, 28)
    sizes = [held.total for held in ledger.holding]
    assert len(sizes) == 28
    assert max(sizes) - min(sizes) <= 2 * READ_SIZE


def test_a_large_body_is_refused_before_a_small_request():
    """Guards against bodies that are read and for which there is no room."""
    assert LIMITS.admits(LIMITS.refuse_level - 1_000_000, 0)
    assert not LIMITS.admits(LIMITS.refuse_level - 1_000_000, 4_000_000)
    assert not LIMITS.admits(LIMITS.refuse_level, 0)


def test_retries_are_spread():
    """Guards against callers that are refused together and return together."""
    drawn = [draw_retry_after(Random(seed)) for seed in range(20)]
    assert min(drawn) >= SECOND / 2
    assert max(drawn) - min(drawn) >= SECOND / 4


def test_nothing_is_closed_while_there_is_room():
    """Guards against closings of slow callers without need."""
    ledger = Ledger()
    fill(ledger, [8_000_000])
    assert find_closing(ledger, LIMITS, NO_REFUSALS, START + 60 * SECOND) is None


def test_the_worst_of_the_stalled_is_closed_near_the_limit():
    """Guards against many closings where one frees enough."""
    ledger = Ledger()
    opened = fill(ledger, [1_000_000, 20_000_000, 8_000_000])
    closing = find_closing(ledger, LIMITS, NO_REFUSALS, START + 4 * SECOND)
    assert closing.held is opened[1]
    assert closing.reason is ClosingReason.MEMORY
    closing.held.close()
    assert find_closing(ledger, LIMITS, NO_REFUSALS, START + 4 * SECOND) is None


@pytest.mark.parametrize("is_kernel", [False, True])
def test_a_caller_that_makes_progress_is_never_closed(is_kernel):
    """Guards against the end of an answer that its caller reads, however slowly."""
    ledger = Ledger()
    slow, stalled = fill(ledger, [31_000_000, 1_000_000])
    slow.note_in_kernel(200_000, START)
    now = START
    for step in range(1, 40):
        now = START + step * STALL_TIME * 0.9
        if is_kernel:
            slow.note_in_kernel(200_000 - step, now)
        else:
            slow.note_unsent(31_000_000 - step, 1, now)
        closing = find_closing(ledger, LIMITS, 9 * SECOND, now)
        assert closing is None or closing.held is stalled


def test_refusals_that_last_end_with_a_closing():
    """Guards against stalled callers that keep out all others until their deadlines."""
    ledger = Ledger()
    fill(ledger, [LIMITS.refuse_level])
    now = START + 4 * SECOND
    assert find_closing(ledger, LIMITS, SECOND / 2, now) is None
    assert find_closing(ledger, LIMITS, SECOND, now) is not None


def test_a_caller_that_reads_nothing_is_ended_at_its_deadline():
    """Guards against an answer that nobody reads and that is kept for ever."""
    ledger = Ledger()
    (held,) = fill(ledger, [1_000_000])
    held.deadline = START + 10 * SECOND
    assert find_closing(ledger, LIMITS, NO_REFUSALS, START + 9 * SECOND) is None
    closing = find_closing(ledger, LIMITS, NO_REFUSALS, START + 10 * SECOND)
    assert closing.reason is ClosingReason.UNREAD


def test_a_caller_that_waits_for_its_answer_is_not_stalled():
    """Guards against a closing while an upstream works for the caller."""
    ledger = Ledger()
    held = ledger.open(START)
    held.begin_body(30_000_000, START)
    held.end_body(30_000_000)
    now = START + 60 * SECOND
    assert find_closing(ledger, LIMITS, 9 * SECOND, now) is None
    held.note_unsent(1_000_000, 0, now)
    assert held.measure_stall(now) == timedelta()


def test_a_caller_that_stops_sending_its_body_is_stalled():
    """Guards against room that is reserved for bodies that never come."""
    ledger = Ledger()
    held = ledger.open(START)
    held.begin_body(30_000_000, START)
    held.note_body(10)
    held.note_progress(START + SECOND)
    held.note_in_kernel(0, START + 2 * SECOND)
    closing = find_closing(ledger, LIMITS, NO_REFUSALS, START + SECOND + STALL_TIME)
    assert closing is not None and closing.held is held


def test_a_pause_between_refusals_begins_a_new_span():
    """Guards against closings after two refusals that are far apart."""
    span = RefusalSpan()
    span.note(START)
    span.note(START + 10 * SECOND)
    assert span.measure(START + 10 * SECOND) == timedelta()
    span.note(START + 10.9 * SECOND)
    assert span.measure(START + 11 * SECOND) == SECOND


def test_nothing_is_counted_for_a_closed_connection():
    """Guards against a total that grows by requests that go on without their caller."""
    ledger = Ledger()
    held = ledger.open(START)
    held.keep(10)
    held.close()
    held.keep(10)
    held.begin_body(10, START)
    assert ledger.total == 0 and not ledger.holding


CHANGES = st.tuples(
    st.integers(0, 3), st.sampled_from("bkuqdec"), st.integers(0, 5_000_000)
)


@STEADY
@given(st.lists(CHANGES, max_size=60))
def test_the_total_is_the_sum_of_all_connections(changes):
    """Guards against a total that drifts, by which all would be refused or nothing."""
    ledger = Ledger()
    opened = [ledger.open(START) for _ in range(4)]
    for index, kind, size in changes:
        held = opened[index]
        if kind == "b":
            held.begin_body(size, START)
            held.note_body(size // 2)
        elif kind == "k":
            held.keep(size)
        elif kind == "u":
            held.note_unsent(size, 0, START)
        elif kind == "q":
            held.note_in_kernel(size, START)
        elif kind == "d":
            held.drop_kept()
        elif kind == "e":
            held.end_request()
        else:
            held.close()
            opened[index] = ledger.open(START)
        assert ledger.total == sum(each.total for each in opened)
        assert set(ledger.holding) == {each for each in opened if each.total}
    for held in opened:
        held.close()
    assert ledger.total == 0 and not ledger.holding


@pytest.mark.parametrize("callers", [1, 4, 28, 100])
def test_breaks_of_callers_cost_few_answers_and_never_the_budget(callers):
    """Guards against upstreams that abort answers for which there is memory."""
    for seed in range(4):
        ours = play(LIMITS.find_read_ahead, callers, seed)
        fixed = play(find_fixed(LIMITS), callers, seed)
        none = play(find_none, callers, seed)
        assert ours.most_held <= LIMITS.budget / 2 + callers * READ_SIZE
        assert ours.lost <= none.lost
        if callers <= 4:
            assert ours.lost < fixed.lost or not fixed.lost
    if callers == 1:
        assert ours.lost == 0
