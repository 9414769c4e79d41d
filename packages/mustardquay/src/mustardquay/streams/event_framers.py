"""Framing of server-sent events in streams that may break off inside an event.

The format is defined by the HTML standard, section 9.2.
"""

import re

__all__ = ["EventFramer"]

EVENT_END = re.compile(rb"(?:\r\n|\r(?!\n)|\n)(?:\r\n|\r(?!\n)|\n)")
"""The blank line that ends an event, for each kind of line ending."""
ID_FIELD = b"id:"
COMMENT = b":"


class EventFramer:
    r"""Holds back an incomplete event until its end; changes no byte.

    >>> framer = EventFramer()
    >>> framer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> framer.last_id, framer.events, framer.is_inside_event
    ('1', 1, True)
    >>> framer.feed(b"ta: b\r\n\r\n")
    b'id: 2\ndata: b\r\n\r\n'
    """

    def __init__(self) -> None:
        self._rest = b""
        self._last_id: str | None = None
        self._events = 0

    @property
    def last_id(self) -> str | None:
        """Return the id of the last complete event that had one."""
        return self._last_id

    @property
    def events(self) -> int:
        """Return how many events were complete since the last `restart`."""
        return self._events

    @property
    def is_inside_event(self) -> bool:
        r"""Return whether an event has begun and not ended; comments aren't events.

        >>> framer = EventFramer()
        >>> framer.feed(b"data: a\n\n: done\n"), framer.is_inside_event
        (b'data: a\n\n', False)
        """
        lines = self._rest.splitlines()
        return any(line and not line.startswith(COMMENT) for line in lines)

    @property
    def held(self) -> int:
        """Return the bytes that are held back of an incomplete event."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete."""
        data = self._rest + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
            self._events += 1
        whole, self._rest = data[:end], data[end:]
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self._last_id = line[len(ID_FIELD) :].strip().decode("latin1")
        return whole

    def take_rest(self) -> bytes:
        """Return the bytes after the last event of a stream that has ended whole."""
        rest, self._rest = self._rest, b""
        return rest

    def restart(self) -> None:
        """Begin with another answer; a part of an event of the last one is dropped."""
        self._rest = b""
        self._events = 0
