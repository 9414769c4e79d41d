"""The call by which a gateway gets the configuration of another one.

`GET /configuration?after=VERSION` on the peer port, over TCP. The answer has the
document as the store sent it, and its version in a header; 204 without a newer one.
"""

from dataclasses import dataclass
from urllib.parse import urlencode

from ..connections import AnswerHead

__all__ = [
    "RELAY_PATH",
    "VERSION_HEADER",
    "RelayedDocument",
    "encode_query",
    "read_document",
]

RELAY_PATH = "/configuration"
VERSION_HEADER = "Configuration-Version"
MAX_VERSION_DIGITS = 20
"""Digits of the largest version, a 64-bit number."""


@dataclass(frozen=True, slots=True)
class RelayedDocument:
    """The configuration of another gateway, not decoded."""

    version: int
    value: bytes


def encode_query(after: int) -> str:
    """Return the path and query that ask for a version after one.

    >>> encode_query(7)
    '/configuration?after=7'
    """
    return f"{RELAY_PATH}?{urlencode({'after': after})}"


def read_document(head: AnswerHead, content: bytes) -> RelayedDocument | None:
    """Return the document of an answer, None without one that can be read."""
    version = head.headers.get(VERSION_HEADER, "")
    is_version = version.isdecimal() and len(version) <= MAX_VERSION_DIGITS
    if head.status != 200 or not is_version or not content:
        return None
    return RelayedDocument(int(version), content)
