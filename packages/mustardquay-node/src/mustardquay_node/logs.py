"""Logging of JSON lines to standard output by eliot, without blocking the loop."""

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
"""Message type of lines that hold an event of the time line."""

DROPPED_MESSAGE = "mustardquay:dropped"
"""Message type of lines with the number of lines dropped since the start."""

_TYPE = "message_type"
_CAPACITY = 10_000
_CLOSE_TIMEOUT = 2.0
_BATCH_DELAY = 0.01
"""Seconds; a process that is killed loses the lines of this time."""
_BATCH_LINES = 1000


def write_event(event: Event) -> None:
    """Log an event of the time line, so that log files can be merged into one."""
    eliot.log_message(message_type=EVENT_MESSAGE, **describe_event(event))


class LineWriter:
    """An eliot destination that writes JSON lines from a separate thread.

    If the reader of the process's output stops reading, the pipe fills, and a write
    from the event loop would block all requests. Here only the thread blocks. Lines
    beyond the capacity are dropped, and when writes succeed again, a line of type
    `mustardquay:dropped` has their number.

    The thread collects lines for some milliseconds and writes them as a batch: waking
    it and writing for each line took more time than making the line.
    """

    def __init__(self, file: BinaryIO, capacity: int = _CAPACITY):
        self._file = file
        self._capacity = capacity
        self._lines: deque[bytes] = deque()
        self._has_lines = Signal()
        self._closing = Signal()
        self._thread = Thread(target=self._write_lines, daemon=True)
        self._dropped = 0
        self._reported = 0

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
        """Start the writing thread."""
        self._thread.start()

    def close(self) -> None:
        """Write what is queued, within two seconds, and stop."""
        self._closing.set()
        self._has_lines.set()
        self._thread.join(_CLOSE_TIMEOUT)

    def _write_lines(self) -> None:
        while not self._closing.is_set():
            self._has_lines.wait()
            self._closing.wait(_BATCH_DELAY)
            # Cleared before the lines are taken: a line that is queued in between is
            # written now and wakes the thread once more without need. Cleared later,
            # such a line could stay in the queue.
            self._has_lines.clear()
            while self._lines:
                self._write_batch(self._take_batch())

    def _take_batch(self) -> list[bytes]:
        count = min(len(self._lines), _BATCH_LINES)
        return [self._lines.popleft() for _ in range(count)]

    def _write_batch(self, lines: list[bytes]) -> None:
        try:
            self._write(b"".join(lines))
        except (OSError, ValueError):
            self._dropped += len(lines)
            return
        if self._reported < self._dropped:
            self._report_dropped(self._dropped)

    def _report_dropped(self, count: int) -> None:
        try:
            self._write(_encode({_TYPE: DROPPED_MESSAGE, "lines": count}))
        except (OSError, ValueError):
            return
        self._reported = count

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[self._file.write(rest) :]


def _encode(message: Mapping[str, Any]) -> bytes:
    return orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE)


def _open_output() -> BinaryIO:
    # Unbuffered: a thread that blocks on a full pipe would still hold the buffer's lock
    # when the interpreter exits, which aborts the process.
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
        """Write what is queued and stop logging to the file."""
        logging.getLogger().removeHandler(self._handler)
        eliot.remove_destination(self._writer)
        self._writer.close()
