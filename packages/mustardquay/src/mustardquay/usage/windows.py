"""Windows of time: window k begins k times its length after the start of 1970."""

from datetime import UTC, datetime, timedelta

__all__ = ["EPOCH", "find_window", "find_window_end"]

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def find_window(at: datetime, length: timedelta) -> int:
    """Return the number of the window that contains a time.

    >>> find_window(datetime(1970, 1, 1, 0, 0, 9, tzinfo=UTC), timedelta(seconds=5))
    1
    """
    return (at - EPOCH) // length


def find_window_end(window: int, length: timedelta) -> datetime:
    """Return when a window ends.

    >>> find_window_end(1, timedelta(seconds=5)).second
    10
    """
    return EPOCH + (window + 1) * length
