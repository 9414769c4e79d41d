"""Arrivals: from a caller's headers to a request with a route and an organisation."""

from .request_reading import read_request

__all__ = ["read_request"]
