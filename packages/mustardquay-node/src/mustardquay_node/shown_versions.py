"""The configuration that a gateway has shown to the caller of a forwarded request.

The gateway that it forwards to must not decide by an older one.
"""

from tornado.httputil import HTTPHeaders

__all__ = ["add_shown_version", "take_shown_version"]

HEADER = "Mustardquay-Configuration"
MAX_DIGITS = 18


def add_shown_version(headers: HTTPHeaders, version: int) -> None:
    """Name the version of the configuration by which a request is forwarded."""
    headers[HEADER] = str(version)


def take_shown_version(headers: HTTPHeaders) -> int:
    """Remove and return the version that a request names; 0 without a valid one.

    >>> headers = HTTPHeaders({"Mustardquay-Configuration": "17"})
    >>> take_shown_version(headers), list(headers)
    (17, [])
    """
    value = headers.get(HEADER, "")
    if HEADER in headers:
        del headers[HEADER]
    is_valid = value.isascii() and value.isdecimal() and len(value) <= MAX_DIGITS
    return int(value) if is_valid else 0
