"""Limits on buffered bytes, derived from the memory of the process.

Guards against callers and upstreams that read slowly: what is buffered for them grows
until the process is killed, with all its requests.

How far a gateway reads ahead of one caller depends on what is free (compare Choudhury
and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998): a
single slow caller gets much, and many together can't take all.
"""

from dataclasses import dataclass
from functools import cached_property

__all__ = ["COUNTED_SIZE", "MEGABYTE", "READ_SIZE", "MemoryLimits", "find_limits"]

MEGABYTE = 1_000_000
READ_SIZE = 65_536
"""Bytes that one read of a source returns at most."""
COUNTED_SIZE = 16 * 1024
"""Bytes up to which a body, or an answer that is buffered, is not counted: the bound
adds a read for each request that is under way, and most requests are that small."""
MOST_IN_KERNEL = 128 * 1024
"""Largest buffer of a socket, which the kernel doubles: what a link of 100 Mbit/s
carries in a round trip of 20 ms. By itself the kernel buffers megabytes."""
LEAST_IN_KERNEL = 16 * 1024
"""Smallest buffer of a socket: some packets."""
KERNEL_SHARE = 1 / 256
"""Share of the budget that one socket may buffer, before the kernel doubles it."""
BUFFER_SHARE = 0.5
"""Share of the memory left after the start that buffers may take. The rest is for what
the configuration and the requests need, for copies, and for the kernel's buffers."""
LEAST_BUDGET = 8 * MEGABYTE
"""Least budget: a request body of the usual limit of 4 MB fits below `REFUSE_LEVEL`."""
READ_AHEAD_LEVEL = 0.5
"""Share of the budget below which what is read ahead for slow callers stays."""
READ_AHEAD_RATIO = 1
"""What one request may take, as a multiple of what is free below that level. A single
slow caller gets half of the level, and n of them leave a share of 1 / (n + 1) free."""
REFUSE_LEVEL = 0.75
"""Share of the budget from which on new requests are refused: above what slow callers
alone can take, so that these refuse nobody."""
CLOSE_LEVEL = 0.875
"""Share of the budget from which on stalled connections are closed at once."""
WHOLE_SHARE = 1 / 32
"""Share of the budget up to which a plain answer is buffered whole. Such an answer can
still be replaced by that of another send."""


@dataclass(frozen=True)
class MemoryLimits:
    """The limits of one process; `budget` is in bytes."""

    budget: int

    @cached_property
    def refuse_level(self) -> int:
        """Return the held bytes from which on new requests are refused."""
        return int(self.budget * REFUSE_LEVEL)

    @cached_property
    def close_level(self) -> int:
        """Return the held bytes from which on stalled connections are closed."""
        return int(self.budget * CLOSE_LEVEL)

    @property
    def kernel_buffer(self) -> int:
        """Return `SO_RCVBUF` and `SO_SNDBUF` of connections.

        >>> [MemoryLimits(each * 1_000_000).kernel_buffer for each in (2, 8, 80)]
        [16384, 31250, 131072]
        """
        size = int(self.budget * KERNEL_SHARE)
        return min(max(size, LEAST_IN_KERNEL), MOST_IN_KERNEL)

    def admits(self, held: int, body: int) -> bool:
        """Return whether to read a request with a body of that length.

        >>> limits = MemoryLimits(32_000_000)
        >>> limits.admits(held=23_000_000, body=0)
        True
        >>> limits.admits(held=23_000_000, body=4_000_000)
        False
        """
        return held + body < self.refuse_level

    def find_read_ahead(self, held: int) -> int:
        """Return how many bytes may wait for one caller while others are read for it.

        With less than a read, each part is written before the next one is read.

        >>> limits = MemoryLimits(32_000_000)
        >>> [limits.find_read_ahead(held) for held in (0, 12_000_000, 20_000_000)]
        [16000000, 4000000, 0]
        """
        free = int(self.budget * READ_AHEAD_LEVEL) - held
        return max(free * READ_AHEAD_RATIO, 0)

    def find_whole_limit(self, held: int) -> int:
        """Return up to which size a plain answer is buffered whole.

        >>> limits = MemoryLimits(32_000_000)
        >>> [limits.find_whole_limit(held) for held in (0, 20_000_000)]
        [1000000, 65536]
        """
        limit = min(int(self.budget * WHOLE_SHARE), self.find_read_ahead(held))
        return max(limit, READ_SIZE)


def find_limits(megabytes: float, resident: int) -> MemoryLimits | None:
    """Return the limits of a process with that setting; None for a setting of 0.

    `resident` is what the process takes before it has served a request.

    >>> find_limits(0, 80_000_000) is None
    True
    >>> find_limits(160, 80_000_000).budget
    40000000
    """
    if not megabytes:
        return None
    spare = int(megabytes * MEGABYTE) - resident
    return MemoryLimits(max(int(spare * BUFFER_SHARE), LEAST_BUDGET))
