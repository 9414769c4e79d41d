from datetime import timedelta

from mustardquay.version_books import VersionBook


def at(seconds):
    return timedelta(seconds=seconds)


def test_the_lag_counts_from_the_oldest_version_that_is_missing():
    """A process that is always one version late would else count as up to date."""
    book = VersionBook()
    book.put(4)
    assert book.hear(5, at(1))
    assert book.hear(7, at(2))
    assert not book.hear(5, at(3))
    assert (book.known, book.measure_lag(at(4))) == (7, at(3))
    book.put(5)
    assert (book.known, book.measure_lag(at(4))) == (7, at(2))
    book.put(7)
    assert (book.is_behind, book.measure_lag(at(4))) == (False, at(0))


def test_versions_that_are_not_newer_are_no_news():
    book = VersionBook()
    book.put(4)
    assert not book.hear(4, at(1))
    assert not book.hear(3, at(1))
    assert not book.is_behind
