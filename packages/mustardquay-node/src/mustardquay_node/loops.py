"""Loops: work that a process repeats for as long as it runs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

__all__ = ["start_loop"]

logger = logging.getLogger(__name__)


def start_loop(
    step: Callable[[], Awaitable[None] | None],
    interval: timedelta,
    random: Random | None = None,
) -> "asyncio.Task[None]":
    """Repeat `step` with `interval` between; cancel the task to end it.

    With `random` the interval varies by a quarter, so that processes which began
    together don't call the platform together. An unexpected exception is logged
    and the loop goes on: a loop that ended unseen would leave a process that looks
    well and follows nothing any more.
    """
    return asyncio.create_task(_repeat(step, interval, random))


async def _repeat(
    step: Callable[[], Awaitable[None] | None],
    interval: timedelta,
    random: Random | None,
) -> None:
    while True:
        try:
            result = step()
            if result is not None:
                await result
        except Exception:
            logger.exception("%s failed and is tried again", step.__qualname__)
        spread = 1.0 if random is None else 0.75 + random.random() / 2
        await asyncio.sleep((interval * spread).total_seconds())
