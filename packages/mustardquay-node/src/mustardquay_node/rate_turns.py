"""Rate turns: how a request waits until the rate limit of its upstream lets it go."""

import asyncio
from datetime import timedelta

from mustardquay.rate_limits import Reservation

from .forwarder_parts import ForwarderParts

__all__ = ["await_turn"]


async def await_turn(parts: ForwarderParts, turn: Reservation) -> None:
    """Wait until a turn comes, and use it."""
    left = turn.at - parts.clock.monotonic()
    if left > timedelta():
        await asyncio.sleep(left.total_seconds())
    turn.is_used = True
