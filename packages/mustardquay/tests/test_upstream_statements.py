from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from mustardquay.clocks import VirtualClock
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_statements import MAX_STATEMENTS, UpstreamStatements

BORN = datetime(2026, 1, 1, tzinfo=UTC)
SECOND = timedelta(seconds=1)
HOUR = timedelta(hours=1)


def to_milliseconds(time):
    return int(time.timestamp() * 1000)


RECORD = UpstreamRecord(
    "i-1", "app", "10.0.0.1:80", "a", 6, False, started_ms=to_milliseconds(BORN)
)


class SteppingClock(VirtualClock):
    """A clock whose time of day may be off."""

    offset = timedelta()

    def now(self):
        return super().now() + self.offset


@pytest.fixture
def clock():
    clock = SteppingClock(BORN)
    clock.advance(HOUR)
    return clock


@pytest.fixture
def statements(clock):
    return UpstreamStatements(clock)


def restart(clock):
    """Return the record of an incarnation that starts now."""
    return replace(RECORD, started_ms=to_milliseconds(clock.now()))


def test_a_rest_ends_after_its_time(clock, statements):
    assert statements.note_rest(RECORD, 3 * SECOND)
    clock.advance(2.9 * SECOND)
    assert not statements.is_accepting(RECORD)
    clock.advance(0.1 * SECOND)
    assert statements.is_accepting(RECORD)
    assert statements.note_rest(RECORD, SECOND)


@pytest.mark.parametrize("step", [-2 * HOUR, 2 * HOUR])
def test_a_step_of_the_time_of_day_does_not_change_a_rest(clock, statements, step):
    """Guards against rests that are measured by the time of day."""
    statements.note_rest(RECORD, 3 * SECOND)
    clock.offset = step
    assert statements.measure_rest(RECORD) == 3 * SECOND
    clock.advance(3 * SECOND)
    assert statements.is_accepting(RECORD)


@pytest.mark.parametrize("step", [-2 * HOUR, timedelta(), 2 * HOUR])
def test_statements_end_with_their_incarnation(clock, statements, step):
    """Guards against a restarted upstream that is taken for the one before."""
    clock.offset = step
    statements.note_leaving(RECORD)
    statements.note_rest(RECORD, HOUR)
    clock.offset = timedelta()
    clock.advance(2 * SECOND)
    assert statements.is_accepting(restart(clock))
    assert not statements.is_accepting(RECORD)


def test_another_upstream_at_the_address_has_said_nothing(statements):
    statements.note_leaving(RECORD)
    assert statements.is_accepting(replace(RECORD, id="i-2"))


def test_the_same_id_at_another_address_has_said_nothing(statements):
    statements.note_leaving(RECORD)
    assert statements.is_accepting(replace(RECORD, address="10.0.0.2:80"))


def test_a_statement_made_before_the_record_of_a_restart_holds(clock, statements):
    """Guards against a restart whose record comes after its first answers."""
    statements.note_leaving(RECORD)
    clock.advance(2 * SECOND)
    restarted = restart(clock)
    clock.advance(SECOND)
    statements.note_rest(RECORD, 5 * SECOND)
    assert statements.measure_rest(restarted) == 5 * SECOND
    assert not statements.is_leaving(restarted)


def test_records_without_a_start_are_of_one_incarnation(statements):
    unknown = replace(RECORD, started_ms=0)
    statements.note_leaving(unknown)
    assert statements.is_leaving(unknown)


def test_the_first_upstream_that_accepts_again_is_found(statements):
    """Guards against callers who are sent away for longer than needed."""
    records = [replace(RECORD, id=f"i-{number}") for number in range(3)]
    statements.note_leaving(records[0])
    assert statements.find_shortest_rest(records) == timedelta()
    statements.note_rest(records[1], 9 * SECOND)
    statements.note_rest(records[2], 4 * SECOND)
    assert statements.find_shortest_rest(records) == 4 * SECOND
    assert statements.find_shortest_rest(records[:1]) == timedelta()


def test_an_endless_rest_is_kept_without_overflow(statements):
    statements.note_rest(RECORD, timedelta.max)
    assert not statements.is_accepting(RECORD)


def test_the_number_of_statements_is_bounded(statements):
    """Guards against memory that grows with upstreams that come and go."""
    for number in range(MAX_STATEMENTS + 1):
        statements.note_leaving(replace(RECORD, id=f"i-{number}"))
    assert statements.is_accepting(replace(RECORD, id="i-0"))
    assert not statements.is_accepting(replace(RECORD, id="i-1"))
