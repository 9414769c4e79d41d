"""Framing of server-sent events in streams that may break off inside an event."""

__all__ = ["EventFramer", "count_event_ends"]

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
"""The blank line that ends an event, for either kind of line ending."""
ID_FIELD = b"id:"


class EventFramer:
    r"""Holds back an incomplete event until its end; changes no byte.

    >>> framer = EventFramer()
    >>> framer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> framer.last_id, framer.has_partial
    ('1', True)
    >>> framer.feed(b"ta: b\r\n\r\n")
    b'id: 2\ndata: b\r\n\r\n'
    """

    def __init__(self) -> None:
        self._partial_event = b""
        self._last_id: str | None = None

    @property
    def last_id(self) -> str | None:
        """Return the id of the last complete event that had one."""
        return self._last_id

    @property
    def has_partial(self) -> bool:
        """Return whether a part of an event is held back."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete."""
        data = self._partial_event + data
        end = max(_find_end(data, mark) for mark in EVENT_ENDS)
        whole, self._partial_event = data[:end], data[end:]
        for line in whole.split(b"\n"):
            if line.startswith(ID_FIELD):
                self._last_id = line[len(ID_FIELD) :].strip().decode("latin1")
        return whole

    def take_partial_event(self) -> bytes:
        """Return the bytes held back, for a stream that has ended normally."""
        rest, self._partial_event = self._partial_event, b""
        return rest

    def drop_partial_event(self) -> None:
        """Discard the incomplete event of a stream that broke off."""
        self._partial_event = b""


def count_event_ends(data: bytes) -> int:
    r"""Return how many events end in a part of a stream.

    >>> count_event_ends(b"ta: 1\n\nid: 2\n\n")
    2
    """
    return max(data.count(mark) for mark in EVENT_ENDS)


def _find_end(data: bytes, mark: bytes) -> int:
    """Return the index after the last `mark`, 0 without one."""
    place = data.rfind(mark)
    return 0 if place < 0 else place + len(mark)
