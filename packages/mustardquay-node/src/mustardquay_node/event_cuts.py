"""Event cuts: whole events out of a stream that may break off in the middle of one."""

__all__ = ["EventCutter", "count_ends"]

ENDS = (b"\n\n", b"\r\n\r\n")
"""What ends an event, by either end of a line."""
ID = b"id:"


class EventCutter:
    r"""Holds back the part of an event that is not whole yet; changes no byte.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cutter.last_id, cutter.has_rest
    ('1', True)
    >>> cutter.feed(b"ta: b\r\n\r\n")
    b'id: 2\ndata: b\r\n\r\n'
    """

    def __init__(self) -> None:
        self._rest = b""
        self._last_id: str | None = None

    @property
    def last_id(self) -> str | None:
        """Return the id of the last whole event."""
        return self._last_id

    @property
    def has_rest(self) -> bool:
        """Return whether a part of an event is held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return the whole events among them."""
        data = self._rest + data
        end = max(_find_end(data, mark) for mark in ENDS)
        whole, self._rest = data[:end], data[end:]
        for line in whole.split(b"\n"):
            if line.startswith(ID):
                self._last_id = line[len(ID) :].strip().decode("latin1")
        return whole

    def take_rest(self) -> bytes:
        """Return what is held back, for a stream that has ended in order."""
        rest, self._rest = self._rest, b""
        return rest

    def drop_rest(self) -> None:
        """Drop a part of an event whose stream broke."""
        self._rest = b""


def count_ends(data: bytes) -> int:
    r"""Return how many events end in a part of a stream.

    >>> count_ends(b"ta: 1\n\nid: 2\n\n")
    2
    """
    return max(data.count(mark) for mark in ENDS)


def _find_end(data: bytes, mark: bytes) -> int:
    """Return the place behind the last `mark`, 0 without one."""
    place = data.rfind(mark)
    return 0 if place < 0 else place + len(mark)
