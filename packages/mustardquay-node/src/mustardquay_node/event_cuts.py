"""Event cuts: whole events out of a stream that may break off in the middle of one."""

__all__ = ["EventCutter"]

END = b"\n\n"


class EventCutter:
    r"""Holds back the part of an event that is not whole yet.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cutter.last_id, cutter.has_rest
    ('1', True)
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
        data = (self._rest + data).replace(b"\r\n", b"\n")
        end = data.rfind(END)
        if end < 0:
            self._rest = data
            return b""
        whole = data[: end + len(END)]
        self._rest = data[end + len(END) :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip().decode("latin1")
        return whole

    def drop_rest(self) -> None:
        """Drop a part of an event whose stream broke."""
        self._rest = b""
