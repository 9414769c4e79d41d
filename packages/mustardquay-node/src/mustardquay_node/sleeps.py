"""The sleep function, injected so that tests need not wait in real time."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeAlias

__all__ = ["Sleep", "sleep"]

Sleep: TypeAlias = Callable[[timedelta], Awaitable[None]]


async def sleep(duration: timedelta) -> None:
    """Sleep on the event loop."""
    await asyncio.sleep(duration.total_seconds())
