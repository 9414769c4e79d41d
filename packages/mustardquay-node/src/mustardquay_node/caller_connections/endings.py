"""Ending: the last moments of a process, in which each request gets its answer."""

import asyncio
from datetime import timedelta
from typing import Protocol

from mustardquay.clocks import Clock
from mustardquay.request_ownership import PASS_INTERVAL, FinalPasses, Occasion

__all__ = ["end_connections"]


class EndingConnections(Protocol):
    """The connections that are to be closed."""

    @property
    def count(self) -> int:
        """Return the number of open connections."""

    @property
    def bytes_read(self) -> int:
        """Return how much was read on all of them."""

    def apply(self, occasion: Occasion) -> int:
        """Close or answer the connections for which it is time."""


async def end_connections(
    connections: EndingConnections, clock: Clock, end_by: timedelta
) -> None:
    """Close all connections, and return when they are closed.

    Each pass follows iterations of the loop in which requests are read and answers are
    written; a connection on which nothing is owed is closed in the first one.
    """
    passes = FinalPasses(end_by)
    while connections.count:
        occasion = passes.begin_pass(connections.bytes_read, clock.monotonic())
        connections.apply(occasion)
        await asyncio.sleep(PASS_INTERVAL.total_seconds())
        if occasion is Occasion.STOP_OVER:
            # The last refusals are written now; answers that are not are cut.
            connections.apply(occasion)
            return
