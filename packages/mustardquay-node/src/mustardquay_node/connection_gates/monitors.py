"""Gate monitors: measure the lag of the event loop, and log what is closed for it."""

import asyncio
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.connection_gates import ConnectionGate
from mustardquay.events import EventRing

__all__ = ["GateMonitor"]

SAMPLE_INTERVAL = timedelta(milliseconds=25)
LOG_INTERVAL = timedelta(seconds=1)
"""Least time between two log lines."""


class GateMonitor:
    """Applies a gate to the new connections of one process."""

    def __init__(self, gate: ConnectionGate, clock: Clock, events: EventRing):
        self._gate = gate
        self._clock = clock
        self._events = events
        self._timer: asyncio.TimerHandle | None = None
        self._sampled_at = self._logged_at = clock.monotonic()
        self._closed = 0
        """Connections that were closed since the last log line."""

    def start(self) -> None:
        """Start to measure."""
        self._sampled_at = self._logged_at = self._clock.monotonic()
        self._schedule()

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def admits(self) -> bool:
        """Return whether to take a new connection; counts those that are closed."""
        is_admitted = self._gate.admits(self._clock.monotonic())
        self._closed += not is_admitted
        return is_admitted

    def _schedule(self) -> None:
        seconds = SAMPLE_INTERVAL.total_seconds()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._sample)

    def _sample(self) -> None:
        now = self._clock.monotonic()
        elapsed = now - self._sampled_at
        self._gate.note_lag(elapsed - SAMPLE_INTERVAL, elapsed, now)
        self._sampled_at = now
        self._log(now)
        self._schedule()

    def _log(self, now: timedelta) -> None:
        if not self._closed or now - self._logged_at < LOG_INTERVAL:
            return
        self._events.record(
            "connections.left_unread",
            closed=self._closed,
            share=round(self._gate.refused_share, 2),
            lag_ms=round(self._gate.mean_lag / timedelta(milliseconds=1), 1),
        )
        self._closed = 0
        self._logged_at = now
