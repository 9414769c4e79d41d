"""The memory guard: what one gateway holds, and its limits in force."""

import ctypes
import gc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from random import Random

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.memory_limits import (
    MEGABYTE,
    Closing,
    Ledger,
    MemoryLimits,
    ProcessMemory,
    RefusalSpan,
    draw_retry_after,
    find_limits,
)

__all__ = [
    "MemoryGuard",
    "MemoryOptions",
    "find_socket_buffer",
    "make_memory_guard",
    "measure_resident",
    "reclaim_memory",
]

STATM = Path("/proc/self/statm")
"""Sizes of this process in pages; the second one is what it has in memory."""
PAGE_SIZE = 4096


@dataclass(frozen=True, slots=True)
class MemoryOptions:
    """Options of a guard."""

    megabytes: float
    """Memory of this process; 0 for no limit."""
    random: Random
    count: Callable[[str], None]
    """Counts refusals and closings by their reason."""


class MemoryGuard:
    """Counts what is held for callers, and decides by it on requests and answers."""

    def __init__(
        self,
        limits: MemoryLimits,
        process: ProcessMemory,
        clock: Clock,
        events: EventRing,
        random: Random,
        count: Callable[[str], None] = lambda measure: None,
    ):
        """Take `count`, which counts refusals and closings by their reason."""
        self._limits = limits
        self._process = process
        self._clock = clock
        self._events = events
        self._random = random
        self._ledger = Ledger()
        self._refusals = RefusalSpan()
        self._count = count

    @property
    def limits(self) -> MemoryLimits:
        """Return the limits."""
        return self._limits

    @property
    def ledger(self) -> Ledger:
        """Return what is held."""
        return self._ledger

    @property
    def resident(self) -> int:
        """Return the bytes that the process had in memory when it was last measured."""
        return self._process.resident

    @property
    def refused_for(self) -> timedelta:
        """Return for how long new requests have been refused."""
        return self._refusals.measure(self._clock.monotonic())

    def admits(self, body: int) -> bool:
        """Return whether to read a request with a body of that length."""
        held = self._ledger.total
        return self._limits.admits(held, body) and self._process.admits(held, body)

    def has_room_for_body(self) -> bool:
        """Return whether to go on reading a body whose length was not declared."""
        held = self._ledger.total
        return held < self._limits.close_level and self._process.admits(held, 0)

    def measure(self) -> None:
        """Measure the process, and reclaim what is free in it near the limit."""
        self._process.note_resident(measure_resident())
        if not self._process.begin_reclaim():
            return
        before = self._process.resident
        reclaim_memory()
        self._process.note_resident(measure_resident())
        self._events.record(
            "memory.reclaimed",
            before=before,
            resident=self._process.resident,
            held=self._ledger.total,
        )

    def find_read_ahead(self) -> int:
        """Return how many bytes may wait for one caller."""
        return self._limits.find_read_ahead(self._ledger.total)

    def is_large(self, size: int) -> bool:
        """Return whether a plain answer of that size is passed on as it comes."""
        return size > self._limits.find_whole_limit(self._ledger.total)

    def note_refusal(self, body: int, **details: int) -> timedelta:
        """Log a refusal; returns when its caller is to come back."""
        if body < self._limits.refuse_level:
            # Others would find no room even if nothing were held.
            self._refusals.note(self._clock.monotonic())
        self._count("refused")
        self._events.record(
            "memory.refused",
            body=body,
            held=self._ledger.total,
            budget=self._limits.budget,
            resident=self._process.resident,
            **details,
        )
        return draw_retry_after(self._random)

    def note_closing(self, closing: Closing, **details: int) -> None:
        """Log that a connection is closed for what it holds."""
        held, now = closing.held, self._clock.monotonic()
        self._count(closing.reason.value)
        self._events.record(
            "memory.closed",
            reason=closing.reason.value,
            of_connection=held.total,
            waiting=held.waiting,
            stalled_ms=round(held.measure_stall(now).total_seconds() * 1000),
            held=self._ledger.total,
            budget=self._limits.budget,
            **details,
        )


def make_memory_guard(
    options: MemoryOptions, clock: Clock, events: EventRing
) -> MemoryGuard | None:
    """Return the guard of a process with that setting; None without a limit."""
    resident = measure_resident()
    limits = find_limits(options.megabytes, resident)
    if limits is None:
        return None
    events.record(
        "memory.limited",
        megabytes=options.megabytes,
        resident=resident,
        budget=limits.budget,
    )
    process = ProcessMemory(int(options.megabytes * MEGABYTE), resident)
    return MemoryGuard(limits, process, clock, events, options.random, options.count)


def find_socket_buffer(megabytes: float) -> int | None:
    """Return what the kernel buffers for a connection each way; None for its choice."""
    limits = find_limits(megabytes, measure_resident())
    return None if limits is None else limits.kernel_buffer


def measure_resident() -> int:
    """Return the bytes that this process has in memory, 0 if that can't be read."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_SIZE
    except (OSError, IndexError, ValueError):
        return 0


def reclaim_memory() -> None:
    """Free unreachable objects, and return free memory to the system.

    The C library keeps what was freed for later allocations, so that the size of the
    process would stay at its peak.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
