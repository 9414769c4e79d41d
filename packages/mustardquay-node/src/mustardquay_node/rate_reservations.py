"""Waiting until the rate limit of an upstream allows a request."""

import asyncio
from datetime import timedelta

from mustardquay.rate_limits import Reservation

from .forwarder_dependencies import ForwarderDependencies

__all__ = ["await_reservation"]


async def await_reservation(
    deps: ForwarderDependencies, reservation: Reservation
) -> None:
    """Wait until the time of a reservation, and mark it as used."""
    left = reservation.at - deps.clock.monotonic()
    if left > timedelta():
        await asyncio.sleep(left.total_seconds())
    reservation.is_used = True
