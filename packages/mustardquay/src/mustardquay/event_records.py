"""Event records: events as JSON objects, for log files and the admin port."""

from collections.abc import Mapping
from typing import Any

from .errors import ProtocolError
from .events import Event, Stamp

__all__ = ["describe_event", "parse_event"]


def describe_event(event: Event) -> dict[str, Any]:
    """Return the JSON object of an event; empty fields are left out.

    >>> describe_event(Event(Stamp(5, 1), "entry-1", "request.arrived"))
    {'stamp': [5, 1], 'process': 'entry-1', 'kind': 'request.arrived'}
    """
    record: dict[str, Any] = {
        "stamp": list(event.stamp),
        "process": event.process,
        "kind": event.kind,
    }
    for name in ("request", "customer", "upstream"):
        if value := getattr(event, name):
            record[name] = value
    if event.details:
        record["details"] = dict(event.details)
    return record


def parse_event(record: Any) -> Event:
    """Return the event that a JSON object describes.

    Raises `ProtocolError` if it does not describe one.
    """
    match record:
        case {
            "stamp": [int(physical), int(logical)],
            "process": str(process),
            "kind": str(kind),
        }:
            stamp = Stamp(physical, logical)
        case _:
            raise ProtocolError(
                "An event lacks its stamp, process or kind; take logs and admin "
                "ports of the same version as this command."
            )
    details = record.get("details", {})
    return Event(
        stamp,
        process,
        kind,
        str(record.get("request", "")),
        str(record.get("customer", "")),
        str(record.get("upstream", "")),
        details if isinstance(details, Mapping) else {},
    )
