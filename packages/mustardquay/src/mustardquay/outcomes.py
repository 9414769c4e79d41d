"""Outcomes: the three ends that a request can come to."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """What a caller is told about its request, in `Mustardquay-Outcome`."""

    ANSWERED = "answered"
    """The whole answer was passed to the caller."""
    NOT_RUN = "not-run"
    """No upstream has run the request, and none will under this id."""
    UNKNOWN = "unknown"
    """An upstream may have run the request in whole or in part."""
