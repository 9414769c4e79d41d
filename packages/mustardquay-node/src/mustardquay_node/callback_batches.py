"""Runs many callbacks in one iteration of the event loop, under a single handle."""

import asyncio
import logging
from collections.abc import Callable

__all__ = ["CallbackBatcher"]

logger = logging.getLogger(__name__)


class CallbackBatcher:
    """Runs callbacks in the next iteration of the event loop, in order.

    All share one handle, since scheduling a handle for each token takes as long as
    the callback itself.
    """

    def __init__(self) -> None:
        self._callbacks: list[Callable[[], None]] = []

    def add(self, callback: Callable[[], None]) -> None:
        """Run a callback in the next iteration of the event loop."""
        if not self._callbacks:
            asyncio.get_running_loop().call_soon(self._run)
        self._callbacks.append(callback)

    def _run(self) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            try:
                callback()
            except Exception:
                # An error in one caller's stream must not drop the callbacks of the
                # others, whose streams would then stop for good.
                logger.exception("A batched callback failed")
