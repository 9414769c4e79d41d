"""Periodic checks of a gateway: expired upstreams, settings files and readiness."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from mustardquay.events import EventRing

from .settings_watches import SettingsWatch
from .upstream_list_updaters import UpstreamListUpdater

__all__ = ["GatewayChecks"]

CHECK_INTERVAL = timedelta(milliseconds=500)


class GatewayChecks:
    """Checks what no event tells of."""

    def __init__(
        self,
        watch: SettingsWatch,
        list_updater: UpstreamListUpdater,
        is_ready: Callable[[], bool],
        events: EventRing,
    ):
        self._watch = watch
        self._list_updater = list_updater
        self._is_ready = is_ready
        self._events = events
        self._was_ready = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to check."""
        self._task = asyncio.create_task(self._check_forever())

    def close(self) -> None:
        """Stop checking."""
        if self._task is not None:
            self._task.cancel()

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            self._list_updater.expire()
            self._watch.check()
            if self._is_ready() != self._was_ready:
                self._was_ready = not self._was_ready
                self._events.record("process.readiness", ready=self._was_ready)
