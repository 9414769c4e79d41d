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


@pytest.mark.parametrize("step", [-2 * HOUR, timedelta(), 2 * HOUR])
def test_statements_end_with_their_incarnation(clock, statements, step):
    """Guards against a restarted upstream that is taken for the one before."""
    clock.offset = step
    statements.note_leaving(RECORD)
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


def test_records_without_a_start_are_of_one_incarnation(statements):
    unknown = replace(RECORD, started_ms=0)
    statements.note_leaving(unknown)
    assert statements.is_leaving(unknown)


def test_the_number_of_statements_is_bounded(statements):
    """Guards against memory that grows with upstreams that come and go."""
    for number in range(MAX_STATEMENTS + 1):
        statements.note_leaving(replace(RECORD, id=f"i-{number}"))
    assert statements.is_accepting(replace(RECORD, id="i-0"))
    assert not statements.is_accepting(replace(RECORD, id="i-1"))
