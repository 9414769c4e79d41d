"""Streams of events: where they end and began, and where they may go on."""

from .completeness import (
    Framing,
    find_framing,
    has_no_body,
    is_informational,
    is_status,
    is_stream_complete,
)
from .continuations import TakeUpRefusal, filter_continuing, prefer_marked
from .event_framers import EventFramer
from .gateway_rings import KEEPERS, GatewayRing
from .origins import (
    OriginRecord,
    OriginTable,
    StreamOrigin,
    compute_stream_key,
    group_by_origin,
)
from .version_doubts import VersionDoubts
from .version_marks import (
    ListedVersions,
    VersionMarks,
    find_only_origin,
    list_versions,
)

__all__ = [
    "KEEPERS",
    "EventFramer",
    "Framing",
    "GatewayRing",
    "ListedVersions",
    "OriginRecord",
    "OriginTable",
    "StreamOrigin",
    "TakeUpRefusal",
    "VersionDoubts",
    "VersionMarks",
    "compute_stream_key",
    "filter_continuing",
    "find_framing",
    "find_only_origin",
    "group_by_origin",
    "has_no_body",
    "is_informational",
    "is_status",
    "is_stream_complete",
    "list_versions",
    "prefer_marked",
]
