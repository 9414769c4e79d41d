"""Streams: whole server-sent events out of the bytes of an engine's answer.

Source of the format: the HTML standard, section 9.2, and the OpenAI API, which ends
a stream with the event `[DONE]`.
"""

__all__ = ["DONE_EVENT", "EventCutter"]

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class EventCutter:
    """Cuts bytes behind the last whole event and keeps the rest.

    Only whole events are passed on, so that a stream which breaks in the middle of
    an event can be resumed behind the last one.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"data: 1\\n\\nda")
    b'data: 1\\n\\n'
    >>> cutter.feed(b"ta: [DONE]\\n\\n"), cutter.is_done
    (b'data: [DONE]\\n\\n', True)
    """

    def __init__(self) -> None:
        self._rest = b""
        self._done = False

    @property
    def is_done(self) -> bool:
        """Return whether the end mark has come."""
        return self._done

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole now, possibly none."""
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
