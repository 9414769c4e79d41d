"""Texts: an event of the timeline as one line of text."""

from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import Any

from mustardquay.events import Event, Stamp

__all__ = ["render_details", "render_event", "render_stamp"]

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def render_stamp(stamp: Stamp) -> str:
    """Return the time of day in UTC, with the logical part unless it is 0.

    >>> render_stamp(Stamp(1_000_000, 2))
    '00:00:01.000000+2'
    """
    try:
        instant = _EPOCH + timedelta(microseconds=stamp.physical)
    except OverflowError:
        return str(stamp.physical)
    logical = f"+{stamp.logical}" if stamp.logical else ""
    return f"{instant:%H:%M:%S.%f}{logical}"


def render_event(event: Event) -> str:
    """Return time, process, kind, subject and details of an event."""
    about = [
        f"{name}={value}"
        for name, value in (
            ("request", event.request),
            ("customer", event.customer),
            ("upstream", event.upstream),
        )
        if value
    ]
    head = f"{render_stamp(event.stamp):<18} {event.process:<20} {event.kind:<24}"
    parts = [head, *about, render_details(event.details)]
    return _replace_unprintable(" ".join(parts)).rstrip()


def render_details(details: Mapping[str, Any]) -> str:
    """Return the details as `name=value` words."""
    return _replace_unprintable(
        " ".join(f"{name}={value}" for name, value in details.items())
    )


def _replace_unprintable(text: str) -> str:
    """Return the text with control characters of terminals replaced."""
    return "".join(char if char.isprintable() else "?" for char in text)
