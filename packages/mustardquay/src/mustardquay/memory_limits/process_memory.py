"""What a process takes in memory, whoever holds it, and what it may still take.

Guards against memory that no ledger counts, such as objects in reference cycles: the
process grows while the ledger is empty, and is killed with all its requests.
"""

__all__ = ["ProcessMemory"]

RECLAIM_LEVEL = 0.65
"""Share of the memory left after the start from which on free memory is reclaimed:
above what the process takes while its ledger is full."""
REFUSE_LEVEL = 0.85
"""Share of it from which on new requests are refused."""
RECLAIM_STEP = 0.05
"""Share of it by which the process has to grow between two reclaims."""
LEAST_SPARE = 16_000_000
"""Bytes left after the start below which a limit says nothing of this process."""


class ProcessMemory:
    """The memory of one process as of its last measurement; sizes are in bytes."""

    def __init__(self, limit: int, resident: int):
        """Take the limit, and what the process takes before its first request."""
        spare = limit - resident
        self._is_limited = spare >= LEAST_SPARE
        self._refuse_level = resident + int(spare * REFUSE_LEVEL)
        self._reclaim_level = resident + int(spare * RECLAIM_LEVEL)
        self._step = int(spare * RECLAIM_STEP)
        self._reclaim_from = self._reclaim_level
        self._resident = resident

    @property
    def resident(self) -> int:
        """Return what the process took at the last measurement."""
        return self._resident

    def admits(self, held: int, body: int) -> bool:
        """Return whether to read a request with a body of that length.

        `held` is what the ledger counts. It counts twice, as a body that is reserved
        may not have arrived, and is copied when it is sent.

        >>> memory = ProcessMemory(limit=200_000_000, resident=100_000_000)
        >>> memory.note_resident(180_000_000)
        >>> [memory.admits(held=0, body=body) for body in (0, 4_000_000, 8_000_000)]
        [True, True, False]
        """
        if not self._is_limited:
            return True
        return self._resident + held + body < self._refuse_level

    def note_resident(self, resident: int) -> None:
        """Note a measurement."""
        self._resident = resident
        if resident < self._reclaim_level:
            self._reclaim_from = self._reclaim_level

    def begin_reclaim(self) -> bool:
        """Return whether to reclaim free memory now, and postpone the next time."""
        if not self._is_limited or self._resident < self._reclaim_from:
            return False
        self._reclaim_from = self._resident + self._step
        return True
