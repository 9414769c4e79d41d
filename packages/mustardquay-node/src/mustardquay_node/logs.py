"""Logs: JSON lines on standard output, by eliot, that never hold up the loop."""

import logging
import sys
from collections import deque
from collections.abc import Mapping
from threading import Event as Signal, Thread
from typing import Any, BinaryIO

import eliot
import orjson
from eliot.stdlib import EliotHandler

from mustardquay.event_records import describe_event
from mustardquay.events import Event

__all__ = ["DROPPED_MESSAGE", "EVENT_MESSAGE", "LineWriter", "Logs", "write_event"]

EVENT_MESSAGE = "mustardquay:event"
"""Message type of the lines that hold an event of the time line."""

DROPPED_MESSAGE = "mustardquay:dropped"
"""Message type of a line that says how many lines were dropped since the start."""

_TYPE = "message_type"
_CAPACITY = 10_000
_CLOSE_TIMEOUT = 2.0
_GATHER_TIME = 0.01
"""Seconds; a process that is killed loses its lines of so long."""
_LINES_TOGETHER = 1000


def write_event(event: Event) -> None:
    """Log an event of the time line, so that log files can be merged back."""
    eliot.log_message(message_type=EVENT_MESSAGE, **describe_event(event))


class LineWriter:
    """An eliot destination that writes JSON lines from a thread of its own.

    Failure: whoever reads the process's output stops reading. The pipe fills, and
    a write from the event loop would freeze every request. Here only the thread
    waits; lines beyond the capacity are dropped, and once lines pass again one of
    type `mustardquay:dropped` says how many.

    The thread gathers lines for some milliseconds before it writes them together:
    waking it and writing for each line took more time than making the line.
    """

    def __init__(self, file: BinaryIO, capacity: int = _CAPACITY):
        self._file = file
        self._capacity = capacity
        self._lines: deque[bytes] = deque()
        self._has_lines = Signal()
        self._closing = Signal()
        self._thread = Thread(target=self._write_lines, daemon=True)
        self._dropped = 0
        self._told = 0

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._dropped

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Queue one message as a line."""
        if len(self._lines) >= self._capacity:
            self._dropped += 1
            return
        self._lines.append(_encode(message))
        if not self._has_lines.is_set():
            self._has_lines.set()

    def start(self) -> None:
        """Start the thread that writes."""
        self._thread.start()

    def close(self) -> None:
        """Write what is queued, within two seconds, and stop."""
        self._closing.set()
        self._has_lines.set()
        self._thread.join(_CLOSE_TIMEOUT)

    def _write_lines(self) -> None:
        while not self._closing.is_set():
            self._has_lines.wait()
            self._closing.wait(_GATHER_TIME)
            # Cleared before the lines are taken, so that one which is queued in
            # between is written now and wakes the thread once more for nothing,
            # and none is left behind.
            self._has_lines.clear()
            while self._lines:
                self._write_together(self._take_lines())

    def _take_lines(self) -> list[bytes]:
        count = min(len(self._lines), _LINES_TOGETHER)
        return [self._lines.popleft() for _ in range(count)]

    def _write_together(self, lines: list[bytes]) -> None:
        try:
            self._write(b"".join(lines))
        except (OSError, ValueError):
            self._dropped += len(lines)
            return
        if self._told < self._dropped:
            self._tell_dropped(self._dropped)

    def _tell_dropped(self, count: int) -> None:
        try:
            self._write(_encode({_TYPE: DROPPED_MESSAGE, "lines": count}))
        except (OSError, ValueError):
            return
        self._told = count

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[self._file.write(rest) :]


def _encode(message: Mapping[str, Any]) -> bytes:
    return orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE)


def _open_output() -> BinaryIO:
    # Without a buffer, whose lock a thread that waits on a full pipe would still
    # hold when the interpreter ends, which aborts the process.
    return open(sys.stdout.fileno(), "wb", buffering=0, closefd=False)


class Logs:
    """The logs of one Python process: eliot's messages and those of `logging`."""

    def __init__(self, level: str = "info", file: BinaryIO | None = None):
        self._level = getattr(logging, level.upper())
        self._writer = LineWriter(file or _open_output())
        self._handler = EliotHandler()

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._writer.dropped

    def start(self) -> None:
        """Send the messages of eliot and `logging` to the file from now on."""
        self._writer.start()
        eliot.add_destinations(self._writer)
        root = logging.getLogger()
        root.setLevel(self._level)
        root.addHandler(self._handler)

    def close(self) -> None:
        """Write what is queued and let go of the file."""
        logging.getLogger().removeHandler(self._handler)
        eliot.remove_destination(self._writer)
        self._writer.close()
