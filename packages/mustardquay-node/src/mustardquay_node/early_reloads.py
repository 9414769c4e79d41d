"""Handling of SIGHUP, the request to reload settings, while a process starts."""

import signal

__all__ = ["note_early_reloads", "was_told_early"]

_told: list[int] = []


def note_early_reloads() -> None:
    """Record SIGHUP from now on.

    Guards against a reload request during the imports, which take over half a second:
    without a handler, the signal terminates the process.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _told.append(number))


def was_told_early() -> bool:
    """Return whether a reload was requested during the start."""
    return bool(_told)
