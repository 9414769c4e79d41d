"""Pause limits: the longest pause that the streams of each service may have."""

from collections.abc import Iterable
from datetime import timedelta

from .routing_tables import Route

__all__ = ["find_pauses"]


def find_pauses(routes: Iterable[Route]) -> dict[str, timedelta]:
    """Return the strictest limit on pauses among the routes to each service."""
    pauses: dict[str, timedelta] = {}
    for route in routes:
        if not route.has_prompt or route.longest_pause is None:
            continue
        for backend in route.backends:
            known = pauses.get(backend.service, route.longest_pause)
            pauses[backend.service] = min(known, route.longest_pause)
    return pauses
