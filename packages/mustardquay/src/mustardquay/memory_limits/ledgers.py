"""Ledgers: the bytes that a process holds, for each connection of a caller and in all.

Guards against slow readers that are only noticed one by one. A figure is changed where
its bytes are read or written, so that it is never older than the event that changed it.
"""

from datetime import timedelta

__all__ = ["HeldBytes", "Ledger"]


class HeldBytes:
    """What one caller's connection holds, for the request that is served on it."""

    __slots__ = (
        "_body",
        "_in_kernel",
        "_is_closed",
        "_is_reading",
        "_kept",
        "_ledger",
        "_progress_at",
        "_unsent",
        "deadline",
    )

    def __init__(self, ledger: "Ledger", now: timedelta):
        self._ledger = ledger
        self._body = 0
        self._is_reading = False
        self._kept = 0
        self._unsent = 0
        self._in_kernel = 0
        self._is_closed = False
        self._progress_at = now
        self.deadline: timedelta | None = None
        """When the caller's request ends at the latest, on the monotonic clock."""

    @property
    def total(self) -> int:
        """Return all that is held."""
        return self._body + self._kept + self._unsent + self._in_kernel

    @property
    def unsent(self) -> int:
        """Return what was passed on and waits for the caller, outside the kernel."""
        return self._unsent

    @property
    def waiting(self) -> int:
        """Return what waits for the caller, with what the kernel has of it."""
        return self._unsent + self._in_kernel

    @property
    def is_reading(self) -> bool:
        """Return whether a part of a request's body is still to come."""
        return self._is_reading

    def measure_stall(self, now: timedelta) -> timedelta:
        """Return for how long the caller has neither sent nor taken what it could."""
        if not (self._is_reading or self.waiting):
            return timedelta()
        return now - self._progress_at

    def begin_body(self, length: int, now: timedelta) -> None:
        """Note the declared length of a body, 0 if there is none or it isn't known."""
        self._is_reading = True
        self._progress_at = now
        self._set_body(length)

    def note_body(self, size: int) -> None:
        """Note how much of the body was read so far."""
        self._is_reading = True
        if size > self._body:
            self._set_body(size)

    def note_progress(self, now: timedelta) -> None:
        """Note that the caller has sent or taken something."""
        self._progress_at = now

    def end_body(self, size: int) -> None:
        """Note the end of a body of that size."""
        self._is_reading = False
        self._set_body(size)

    def keep(self, size: int) -> None:
        """Note a part of an answer that is buffered until it is whole."""
        if self._is_closed:
            return
        self._ledger.change(self, size)
        self._kept += size

    def drop_kept(self) -> None:
        """Note that what was buffered is passed on, or not needed."""
        self._ledger.change(self, -self._kept)
        self._kept = 0

    def note_unsent(self, size: int, taken: int, now: timedelta) -> None:
        """Note what waits outside the kernel, after the kernel has taken a part."""
        if taken or (size and not self.waiting):
            self._progress_at = now
        self._ledger.change(self, size - self._unsent)
        self._unsent = size

    def note_in_kernel(self, size: int, now: timedelta) -> bool:
        """Note what waits in the kernel; returns whether the caller has read of it.

        The kernel reports room only when a good part of its buffer is free, so that a
        slow caller is seen to read by this figure first.
        """
        has_progress = size < self._in_kernel
        if has_progress or (size and not self.waiting):
            self._progress_at = now
        self._ledger.change(self, size - self._in_kernel)
        self._in_kernel = size
        return has_progress

    def end_request(self) -> None:
        """Note that the request and what was buffered for it are no longer held."""
        self._is_reading = False
        if self._body:
            self._set_body(0)
        if self._kept:
            self.drop_kept()

    def close(self) -> None:
        """Note that nothing is held any more, nor will be."""
        self.end_request()
        self._ledger.change(self, -self.waiting)
        self._unsent = self._in_kernel = 0
        self._is_closed = True

    def _set_body(self, size: int) -> None:
        if self._is_closed:
            return
        self._ledger.change(self, size - self._body)
        self._body = size


class Ledger:
    """What one process holds."""

    def __init__(self) -> None:
        self._total = 0
        self._most = 0
        self._holding: dict[HeldBytes, None] = {}

    @property
    def total(self) -> int:
        """Return the held bytes."""
        return self._total

    @property
    def most(self) -> int:
        """Return the most bytes that were held since the start."""
        return self._most

    @property
    def holding(self) -> list[HeldBytes]:
        """Return the connections for which anything is held."""
        return list(self._holding)

    def open(self, now: timedelta) -> HeldBytes:
        """Return the record of a new connection."""
        return HeldBytes(self, now)

    def change(self, held: HeldBytes, size: int) -> None:
        """Apply a change to a record that does not include it yet."""
        if not size:
            return
        self._total += size
        self._most = max(self._most, self._total)
        if held.total + size > 0:
            self._holding[held] = None
        else:
            self._holding.pop(held, None)
