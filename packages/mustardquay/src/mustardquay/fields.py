"""Field types shared by settings and documents."""

from datetime import timedelta
from ipaddress import ip_address
from math import isfinite
from typing import Annotated, Any
from urllib.parse import urlsplit

from pydantic import AfterValidator, BeforeValidator, PlainSerializer

__all__ = [
    "Duration",
    "SplitWords",
    "check_address",
    "check_socket_address",
    "check_url",
    "parse_duration",
    "split_words",
]

_LONGEST = timedelta(days=3650)


def split_words(value: Any) -> Any:
    """Split a text into words at commas and white space.

    >>> split_words("wien-nord, linz")
    ('wien-nord', 'linz')
    """
    if isinstance(value, str):
        return tuple(value.replace(",", " ").split())
    return value


def parse_duration(value: Any) -> timedelta:
    """Return the duration given as a number of seconds or as text.

    Raises `ValueError` for anything else, `nan` included.

    >>> parse_duration("1.5")
    datetime.timedelta(seconds=1, microseconds=500000)
    """
    if isinstance(value, timedelta):
        return value
    try:
        seconds = float(value) if not isinstance(value, bool) else float("nan")
    except (TypeError, ValueError):
        seconds = float("nan")
    if not isfinite(seconds) or abs(seconds) > _LONGEST.total_seconds():
        raise ValueError("must be a duration in seconds; write one such as 1.5")
    return timedelta(seconds=seconds)


def check_address(value: str) -> str:
    """Return the address; raises `ValueError` unless it is an IP address."""
    try:
        ip_address(value)
    except ValueError:
        raise ValueError(
            "must be an IP address, as names are not resolved; write one such as "
            "127.0.0.1"
        ) from None
    return value


def check_socket_address(value: str) -> str:
    """Return the address; raises `ValueError` unless it is an IP address and a port.

    >>> check_socket_address("127.0.0.1:8000")
    '127.0.0.1:8000'
    """
    host, _, port = value.rpartition(":")
    try:
        ip_address(host)
        valid = 0 <= int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            "must be an IP address and a port; write one such as 127.0.0.1:8000"
        )
    return value


def check_url(value: str) -> str:
    """Return the URL without a trailing slash.

    Raises `ValueError` unless it is an HTTP URL whose host is an IP address.

    >>> check_url("http://127.0.0.1:8000/")
    'http://127.0.0.1:8000'
    """
    try:
        parts = urlsplit(value)
        ip_address(parts.hostname or "")
        valid = parts.scheme in ("http", "https") and parts.port != 0
    except ValueError:
        valid = False
    if not valid or parts.query or parts.fragment or parts.username is not None:
        raise ValueError(
            "must be a URL whose host is an IP address, as names are not resolved; "
            "write one such as http://127.0.0.1:8000"
        )
    return value.rstrip("/")


def _check_positive(value: timedelta) -> timedelta:
    if value <= timedelta():
        raise ValueError("must be over 0 seconds; raise it")
    return value


SplitWords = BeforeValidator(split_words)
"""Marks a field that holds several words on one line of an INI file."""

Duration = Annotated[
    timedelta,
    BeforeValidator(parse_duration),
    AfterValidator(_check_positive),
    PlainSerializer(timedelta.total_seconds, when_used="json"),
]
"""A positive duration, written in seconds."""
