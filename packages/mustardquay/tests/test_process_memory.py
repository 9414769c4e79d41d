"""The memory of a process as a whole, and what is refused or reclaimed for it."""

from hypothesis import given, settings, strategies as st

from mustardquay.memory_limits import MEGABYTE, ProcessMemory, find_limits

STEADY = settings(derandomize=True, deadline=None, database=None, max_examples=300)
START = 60 * MEGABYTE
SIZES = st.integers(0, 300 * MEGABYTE)


@STEADY
@given(st.integers(80, 1_000), SIZES, SIZES)
def test_a_process_that_takes_what_its_ledger_counts_refuses_nothing_more(
    megabytes, held, body
):
    limits = find_limits(megabytes, START)
    memory = ProcessMemory(megabytes * MEGABYTE, START)
    memory.note_resident(START + held)
    if limits.admits(held, body):
        assert memory.admits(held, body)


@STEADY
@given(st.integers(80, 1_000), SIZES, SIZES, SIZES)
def test_what_is_admitted_fits_below_the_limit(megabytes, resident, held, body):
    memory = ProcessMemory(megabytes * MEGABYTE, START)
    memory.note_resident(resident)
    if memory.admits(held, body):
        assert resident + held + body < megabytes * MEGABYTE


def test_a_limit_below_the_size_at_the_start_refuses_nothing():
    memory = ProcessMemory(50 * MEGABYTE, START)
    memory.note_resident(START * 2)
    assert memory.admits(0, MEGABYTE) and not memory.begin_reclaim()


def test_memory_is_reclaimed_again_only_after_growth():
    """Guards against collections without end where nothing can be freed."""
    memory = ProcessMemory(START + 100 * MEGABYTE, START)
    reclaims = []
    for size in (60, 70, 70, 72, 76, 90, 20, 70):
        memory.note_resident(START + size * MEGABYTE)
        reclaims.append(memory.begin_reclaim())
    assert reclaims == [False, True, False, False, True, True, False, True]
