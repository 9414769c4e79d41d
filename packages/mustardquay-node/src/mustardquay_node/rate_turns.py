"""Waiting until the rate limit of an upstream allows a request."""

import asyncio
from datetime import timedelta

from mustardquay.rate_limits import Turn

from .forwarder_parts import ForwarderParts

__all__ = ["await_turn"]


async def await_turn(parts: ForwarderParts, turn: Turn) -> None:
    """Wait until the time of a reserved turn, and mark the turn as used."""
    left = turn.at - parts.clock.monotonic()
    if left > timedelta():
        await asyncio.sleep(left.total_seconds())
    turn.is_used = True
