"""Loops: periodic background tasks of a process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

__all__ = ["cancel_task", "start_loop"]

logger = logging.getLogger(__name__)


def start_loop(
    step: Callable[[], Awaitable[None] | None],
    interval: timedelta,
    random: Random | None = None,
) -> "asyncio.Task[None]":
    """Call `step` repeatedly, with `interval` in between, until the task is cancelled.

    With `random` the interval varies by a quarter, so that processes which started
    together don't call the platform at the same time. An unexpected exception is
    logged and the loop continues: if it ended unnoticed, the process would seem
    healthy but would no longer be updated.
    """
    return asyncio.create_task(_repeat(step, interval, random))


async def cancel_task(task: "asyncio.Task[None] | None") -> None:
    """Cancel a background task, if there is one, and wait for its end.

    Errors of the task are dropped, as nothing depends on it any more.
    """
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


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
            logger.exception("%s failed and will be retried", step.__qualname__)
        spread = 1.0 if random is None else 0.75 + random.random() / 2
        await asyncio.sleep((interval * spread).total_seconds())
