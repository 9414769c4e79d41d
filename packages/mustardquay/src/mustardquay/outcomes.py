"""Outcomes: the three possible results of a request."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """The result of a request, as in the header `Mustardquay-Outcome`."""

    ANSWERED = "answered"
    """The complete answer was delivered to the caller."""
    NOT_RUN = "not-run"
    """No upstream has run the request, and none will run it under this id."""
    UNKNOWN = "unknown"
    """An upstream may have run the request in whole or in part."""
