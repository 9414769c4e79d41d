"""Arrivals: from a caller's headers to a request with a route and an organisation."""

from .admissions import admit_request
from .take_ups import VERSION_RETRY_AFTER, take_up_stream

__all__ = ["VERSION_RETRY_AFTER", "admit_request", "take_up_stream"]
