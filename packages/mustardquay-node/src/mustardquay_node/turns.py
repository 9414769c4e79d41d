"""Turns: callbacks at the end of a turn of the loop, many under one handle."""

import asyncio
import logging
from collections.abc import Callable

__all__ = ["TurnQueue"]

logger = logging.getLogger(__name__)


class TurnQueue:
    """Calls back in the next turn of the loop, in order, with one handle for all.

    A handle for each callback takes as long as what a token's callback does.
    """

    def __init__(self) -> None:
        self._callbacks: list[Callable[[], None]] = []

    def add(self, callback: Callable[[], None]) -> None:
        """Call back in the next turn."""
        if not self._callbacks:
            asyncio.get_running_loop().call_soon(self._run)
        self._callbacks.append(callback)

    def _run(self) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            try:
                callback()
            except Exception:
                # One caller's fault must not hold up the other callers' tokens,
                # which would show as streams that stop for good.
                logger.exception("A callback at the end of a turn failed.")
