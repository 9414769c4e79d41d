"""Paces: how far the answer to one caller is read ahead of what the caller takes."""

import asyncio
from collections.abc import Awaitable, Callable

from mustardquay.clocks import Clock
from mustardquay.memory_limits import READ_SIZE, HeldBytes

from ..memory_guards import MemoryGuard

__all__ = ["CallerPace"]


class CallerPace:
    """What one connection holds, and the wait of its answer for its caller."""

    def __init__(self, guard: MemoryGuard, clock: Clock):
        self._guard = guard
        self._clock = clock
        self._held = guard.ledger.open(clock.monotonic())
        self._room: asyncio.Future[None] | None = None
        """Done when the next part of the answer may be read."""
        self._room_level = 0
        self._on_progress: Callable[[], None] | None = None

    @property
    def guard(self) -> MemoryGuard:
        """Return the guard of the process."""
        return self._guard

    @property
    def held(self) -> HeldBytes:
        """Return what the connection holds."""
        return self._held

    def watch_progress(self, note: Callable[[], None] | None) -> None:
        """Call `note` whenever the caller has read a part of what waits for it."""
        self._on_progress = note

    def note_read(self) -> None:
        """Note that bytes of a request were read."""
        if self._held.is_reading:
            self._held.note_progress(self._clock.monotonic())

    def note_written(self, unsent: int, taken: int) -> None:
        """Note a write that left something unsent, or the first one that did not."""
        self._held.note_unsent(unsent, taken, self._clock.monotonic())
        if taken:
            self._note_progress()
        if self._room is not None and unsent <= self._room_level:
            self._end_wait()

    def note_in_kernel(self, size: int) -> None:
        """Note what the kernel holds for the caller."""
        if self._held.note_in_kernel(size, self._clock.monotonic()):
            self._note_progress()

    def find_wait(self) -> Awaitable[None] | None:
        """Return what to await before more of the answer is read, or None."""
        ahead = self._guard.find_read_ahead()
        if self._held.unsent < ahead or not self._held.unsent:
            return None
        self._room_level = max(ahead - READ_SIZE, 0)
        if self._room is None:
            self._room = asyncio.get_running_loop().create_future()
        return self._room

    def close(self) -> None:
        """Note that the connection is closed."""
        self._on_progress = None
        self._held.close()
        self._end_wait()

    def _note_progress(self) -> None:
        if self._on_progress is not None:
            self._on_progress()

    def _end_wait(self) -> None:
        room, self._room = self._room, None
        if room is not None and not room.done():
            room.set_result(None)
