"""Early reloads: calls to read the settings again that come while a process starts."""

import signal

__all__ = ["note_early_reloads", "was_told_early"]

_told: list[int] = []


def note_early_reloads() -> None:
    """Note SIGHUP from now on, instead of being ended by it.

    Guards against such a call while modules are loaded, which takes over half a
    second: a signal that nobody has asked for ends the process.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _told.append(number))


def was_told_early() -> bool:
    """Return whether there was such a call."""
    return bool(_told)
