"""Continuations: which upstreams a stream that has begun may go on at."""

from collections.abc import Callable, Sequence
from enum import StrEnum

from ..upstream_lists import Stage, UpstreamRecord
from .origins import StreamOrigin

__all__ = ["TakeUpRefusal", "filter_continuing", "prefer_marked"]


class TakeUpRefusal(StrEnum):
    """Why a stream can't be taken up."""

    ORIGIN_UNKNOWN = "origin_unknown"
    """It is not known at which software version the stream began."""
    SERVICE_CHANGED = "service_changed"
    """The route no longer leads to the service that began the stream."""
    VERSION_UNAVAILABLE = "version_unavailable"
    """No upstream of its software version takes it."""


def filter_continuing(
    upstreams: Sequence[UpstreamRecord],
    origin: StreamOrigin,
    is_certain: Callable[[UpstreamRecord], bool] = lambda record: True,
) -> list[UpstreamRecord]:
    """Return the upstreams that a stream of this origin may go on at.

    `is_certain` returns whether an upstream still has the version of its record.

    Engines that only prefill stay whatever their version: they write no events, and
    their KV caches depend on the weights.
    """
    return [
        each
        for each in upstreams
        if each.stage is Stage.PREFILL
        or (each.software_version == origin.version and is_certain(each))
    ]


def prefer_marked(
    upstreams: Sequence[UpstreamRecord], is_marked: Callable[[UpstreamRecord], bool]
) -> Sequence[UpstreamRecord]:
    """Return the upstreams at whose marked versions a stream may begin.

    A version that can't be marked, as the store is away, is used only if no other
    upstream can run the request.
    """
    marked = [
        each for each in upstreams if each.stage is Stage.PREFILL or is_marked(each)
    ]
    can_run = any(each.stage is not Stage.PREFILL for each in marked)
    return marked if can_run else upstreams
