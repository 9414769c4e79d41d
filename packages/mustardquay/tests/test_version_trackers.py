from datetime import timedelta

import pytest

from mustardquay.version_trackers import TableState, VersionTracker


def at(seconds):
    return timedelta(seconds=seconds)


def test_the_lag_counts_from_the_oldest_missing_version():
    """Guards against a process that is always one version late counting as current."""
    tracker = VersionTracker()
    tracker.set_in_force(4)
    assert tracker.note_version(5, at(1))
    assert tracker.note_version(7, at(2))
    assert not tracker.note_version(5, at(3))
    assert (tracker.known, tracker.measure_lag(at(4))) == (7, at(3))
    tracker.set_in_force(5)
    assert (tracker.known, tracker.measure_lag(at(4))) == (7, at(2))
    tracker.set_in_force(7)
    assert (tracker.is_behind, tracker.measure_lag(at(4))) == (False, at(0))


def test_versions_that_are_not_newer_are_ignored():
    tracker = VersionTracker()
    tracker.set_in_force(4)
    assert not tracker.note_version(4, at(1))
    assert not tracker.note_version(3, at(1))
    assert not tracker.is_behind


@pytest.mark.parametrize(
    "others, seconds, state",
    [
        ([5, 5, 4], 0.9, TableState.BEHIND),
        ([5, 5, 4], 1.1, TableState.OUTDATED),
        ([5, 4, 4], 1.1, TableState.BEHIND),
        ([5, 4], 1.1, TableState.BEHIND),
        ([], 1.1, TableState.BEHIND),
    ],
)
def test_a_table_is_outdated_once_most_others_have_a_newer_one(others, seconds, state):
    """Guards against routing all callers to the one gateway with a newer version."""
    tracker = VersionTracker()
    tracker.set_in_force(4)
    tracker.note_version(5, at(10))
    assert tracker.find_state(others, at(2), at(10 + seconds)) is state


def test_a_table_with_nothing_newer_is_current():
    tracker = VersionTracker()
    tracker.set_in_force(4)
    assert tracker.find_state([4, 3], at(2), at(99)) is TableState.CURRENT
