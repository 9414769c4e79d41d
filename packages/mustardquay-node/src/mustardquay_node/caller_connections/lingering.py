"""Lingering closes: sockets that are read for a while after their last answer.

A socket that is closed while bytes of its caller lie unread is reset, and a reset
discards what the caller has not yet read of the answer. So the sending side is closed
first, and what the caller still sends is dropped until it closes too.
"""

import asyncio
import socket
from datetime import timedelta

__all__ = ["Lingerer"]

LINGER_LIMIT = timedelta(milliseconds=500)
"""How long a caller is given to read its answer: some round trips, also on slow links.
The descriptor is in use meanwhile."""
DRAIN_LIMIT = timedelta(milliseconds=150)
"""How long the process waits for these callers before it exits."""
READ_SIZE = 65536
MOST = 256
"""Sockets that linger at the same time; the oldest of more is closed."""
WAIT_INTERVAL = timedelta(milliseconds=10)


class Lingerer:
    """The sockets of one process that linger."""

    def __init__(self) -> None:
        self._timers: dict[socket.socket, asyncio.TimerHandle] = {}

    def take(self, stream: socket.socket) -> None:
        """Close the sending side of a socket, and the rest when its caller does."""
        try:
            stream.shutdown(socket.SHUT_WR)
        except OSError:
            stream.close()
            return
        if len(self._timers) >= MOST:
            self._close(next(iter(self._timers)))
        loop = asyncio.get_running_loop()
        seconds = LINGER_LIMIT.total_seconds()
        self._timers[stream] = loop.call_later(seconds, self._close, stream)
        loop.add_reader(stream, self._drop, stream)

    def free(self) -> int:
        """Close all of them, as descriptors are short; returns how many."""
        count = len(self._timers)
        for stream in list(self._timers):
            self._close(stream)
        return count

    async def drain(self) -> None:
        """Wait until callers have closed their sides, and close those that have not."""
        loop = asyncio.get_running_loop()
        end = loop.time() + DRAIN_LIMIT.total_seconds()
        while self._timers and loop.time() < end:
            await asyncio.sleep(WAIT_INTERVAL.total_seconds())
        self.free()

    def _drop(self, stream: socket.socket) -> None:
        try:
            data = stream.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(stream)

    def _close(self, stream: socket.socket) -> None:
        self._timers.pop(stream).cancel()
        asyncio.get_running_loop().remove_reader(stream)
        stream.close()
