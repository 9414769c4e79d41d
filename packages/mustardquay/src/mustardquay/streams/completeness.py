"""Completeness of streams: what shows that an answer has come to its end.

A process that crashes closes its connections, so that the end of a connection alone
says nothing. It may also end an answer in chunks or of a known length inside an event.
"""

from collections.abc import Container
from enum import StrEnum

__all__ = [
    "Framing",
    "find_framing",
    "has_no_body",
    "is_informational",
    "is_status",
    "is_stream_complete",
]

BODILESS_STATUSES = (204, 304)
STATUSES = range(100, 600)
FIRST_FINAL_STATUS = 200


class Framing(StrEnum):
    """What marks the end of an answer's body; see RFC 9112, section 6.3."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection."""


def find_framing(headers: Container[str]) -> Framing:
    """Return the framing of an answer that has headers of these names.

    >>> find_framing({"Content-Type", "Content-Length"}).value
    'length'
    """
    if "Transfer-Encoding" in headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION


def is_status(code: int) -> bool:
    """Return whether a number is a status of HTTP; see RFC 9110, section 15.

    >>> [is_status(code) for code in (0, 99, 100, 599, 600)]
    [False, False, True, True, False]
    """
    return code in STATUSES


def is_informational(status: int) -> bool:
    """Return whether another head follows the one with this status."""
    return status < FIRST_FINAL_STATUS


def has_no_body(method: str, status: int) -> bool:
    """Return whether an answer ends with its head; see RFC 9112, section 6.3.

    >>> has_no_body("GET", 304), has_no_body("HEAD", 200), has_no_body("GET", 200)
    (True, True, False)
    """
    return method == "HEAD" or status in BODILESS_STATUSES


def is_stream_complete(framing: Framing, events: int, is_inside_event: bool) -> bool:
    """Return whether a stream that has ended by its framing is complete.

    `events` are those of this answer. One that ends with its connection before the
    first event is not known to hold none.

    >>> is_stream_complete(Framing.CHUNKS, 0, False)
    True
    >>> is_stream_complete(Framing.CONNECTION, 0, False)
    False
    >>> [is_stream_complete(framing, 2, True) for framing in Framing]
    [False, False, False]
    """
    if is_inside_event:
        return False
    return framing is not Framing.CONNECTION or events > 0
