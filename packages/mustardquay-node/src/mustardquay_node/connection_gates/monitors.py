"""Gate monitors: measure the lag of the event loop, and log what is closed for it."""

import asyncio
from datetime import timedelta

from mustardquay.connection_gates import ConnectionGate
from mustardquay.events import EventRing

__all__ = ["GateMonitor"]

SAMPLE_INTERVAL = timedelta(milliseconds=25)
LOG_INTERVAL = timedelta(seconds=1)
"""Least time between two log lines."""


class GateMonitor:
    """Applies a gate to the new connections of one process."""

    def __init__(self, gate: ConnectionGate, events: EventRing):
        self._gate = gate
        self._events = events
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._sampled_at = 0.0
        self._logged_at = 0.0
        self._closed = 0
        """Connections that were closed since the last log line."""

    def start(self) -> None:
        """Start to measure."""
        self._loop = asyncio.get_running_loop()
        self._sampled_at = self._logged_at = self._loop.time()
        self._schedule()

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def admits(self) -> bool:
        """Return whether to take a new connection; counts those that are closed."""
        if self._loop is None:
            return True
        is_admitted = self._gate.admits(timedelta(seconds=self._loop.time()))
        self._closed += not is_admitted
        return is_admitted

    def _schedule(self) -> None:
        self._due = self._sampled_at + SAMPLE_INTERVAL.total_seconds()
        self._timer = self._loop.call_at(self._due, self._sample)

    def _sample(self) -> None:
        now = self._loop.time()
        lag = timedelta(seconds=now - self._due)
        elapsed = timedelta(seconds=now - self._sampled_at)
        self._gate.note_lag(lag, elapsed, timedelta(seconds=now))
        self._sampled_at = now
        self._log(now)
        self._schedule()

    def _log(self, now: float) -> None:
        if not self._closed or now - self._logged_at < LOG_INTERVAL.total_seconds():
            return
        self._events.record(
            "connections.left_unread",
            closed=self._closed,
            share=round(self._gate.refused_share, 2),
            lag_ms=round(self._gate.mean_lag / timedelta(milliseconds=1), 1),
        )
        self._closed = 0
        self._logged_at = now
