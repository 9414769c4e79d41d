"""Streams of events: where events end, and whether a stream is complete."""

from .completeness import Framing, find_framing, is_stream_complete
from .event_framers import EventFramer

__all__ = ["EventFramer", "Framing", "find_framing", "is_stream_complete"]
