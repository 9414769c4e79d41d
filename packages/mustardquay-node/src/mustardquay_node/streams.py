"""Streams: extracts complete server-sent events from an engine's answer.

The format is defined by the HTML standard, section 9.2, and by the OpenAI API, which
ends a stream with the event `[DONE]`.
"""

__all__ = ["DONE_EVENT", "EventFramer"]

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class EventFramer:
    """Splits bytes after the last complete event and buffers the rest.

    Only complete events are forwarded, so that a stream that is interrupted within an
    event can be resumed after the last complete one.

    >>> framer = EventFramer()
    >>> framer.feed(b"data: 1\\n\\nda")
    b'data: 1\\n\\n'
    >>> framer.feed(b"ta: [DONE]\\n\\n"), framer.is_done
    (b'data: [DONE]\\n\\n', True)
    """

    def __init__(self) -> None:
        self._rest = b""
        self._done = False

    @property
    def is_done(self) -> bool:
        """Return whether the end mark has been received."""
        return self._done

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now complete, possibly none."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        end += len(EVENT_END)
        self._rest = data[end:]
        whole = data[:end]
        self._done = self._done or whole.endswith(DONE_EVENT)
        return whole
