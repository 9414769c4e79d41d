"""Logs: JSON lines on standard output, by eliot, that never hold up the loop."""

import logging
import sys
from collections.abc import Mapping
from queue import Full, Queue
from threading import Thread
from typing import Any, BinaryIO

import eliot
import orjson
from eliot.stdlib import EliotHandler

from mustardquay.events import Event
from mustardquay.records import describe_event

__all__ = ["DROPPED_MESSAGE", "EVENT_MESSAGE", "LineWriter", "Logs", "write_event"]

EVENT_MESSAGE = "mustardquay:event"
"""Message type of the lines that hold an event of the time line."""

DROPPED_MESSAGE = "mustardquay:dropped"
"""Message type of a line that says how many lines were dropped since the start."""

_TYPE = "message_type"
_CAPACITY = 10_000
_CLOSE_TIMEOUT = 2.0


def write_event(event: Event) -> None:
    """Log an event of the time line, so that log files can be merged back."""
    eliot.log_message(message_type=EVENT_MESSAGE, **describe_event(event))


class LineWriter:
    """An eliot destination that writes JSON lines from a thread of its own.

    Failure: whoever reads the process's output stops reading. The pipe fills, and
    a write from the event loop would freeze every request. Here only the thread
    waits; lines beyond the capacity are dropped, and once lines pass again one of
    type `mustardquay:dropped` says how many.
    """

    def __init__(self, file: BinaryIO, capacity: int = _CAPACITY):
        self._file = file
        self._lines: Queue[bytes | None] = Queue(capacity)
        self._thread = Thread(target=self._write_lines, daemon=True)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._dropped

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Queue one message as a line."""
        try:
            self._lines.put_nowait(_encode(message))
        except Full:
            self._dropped += 1

    def start(self) -> None:
        """Start the thread that writes."""
        self._thread.start()

    def close(self) -> None:
        """Write what is queued, within two seconds, and stop."""
        try:
            self._lines.put(None, timeout=_CLOSE_TIMEOUT)
        except Full:
            return
        self._thread.join(_CLOSE_TIMEOUT)

    def _write_lines(self) -> None:
        told = 0
        while (line := self._lines.get()) is not None:
            try:
                self._write_line(line)
                if told < self._dropped:
                    told = self._dropped
                    self._write_line(_encode({_TYPE: DROPPED_MESSAGE, "lines": told}))
            except (OSError, ValueError):
                self._dropped += 1

    def _write_line(self, line: bytes) -> None:
        rest = memoryview(line)
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
