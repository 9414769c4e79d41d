"""Handling of SIGHUP, the request to reload settings, while a process starts."""

import signal

__all__ = ["record_early_reloads", "was_reload_requested"]

_signals: list[int] = []


def record_early_reloads() -> None:
    """Record SIGHUP from now on.

    Guards against a reload request during the imports, which take over half a second:
    without a handler, the signal terminates the process.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _signals.append(number))


def was_reload_requested() -> bool:
    """Return whether a reload was requested during the start."""
    return bool(_signals)
