"""Reload the settings files of a gateway when they change."""

from collections.abc import Callable, Sequence
from pathlib import Path

from mustardquay.errors import SettingsError
from mustardquay.events import EventRing

from .settings import GatewaySettings, read_settings

__all__ = ["SettingsWatch", "needs_restart"]


class SettingsWatch:
    """Reads the files again on request, and when a check finds them changed."""

    def __init__(
        self,
        files: Sequence[Path],
        settings: GatewaySettings,
        events: EventRing,
        take: Callable[[GatewaySettings], None],
    ):
        """Take `take`, which is called with settings that differ from the last ones."""
        self._files = tuple(files)
        self._settings = settings
        self._events = events
        self._take = take
        self._file_stamps = self._read_file_stamps()

    def check(self) -> None:
        """Read the files again if they have changed."""
        if self._read_file_stamps() != self._file_stamps:
            self.reload()

    def reload(self) -> None:
        """Read the files again; invalid settings are logged and ignored."""
        if not self._files:
            return
        try:
            settings = read_settings(*self._files)
        except SettingsError as error:
            self._events.record("settings.refused", error=str(error))
            return
        changed = settings != self._settings
        self._file_stamps = self._read_file_stamps()
        self._events.record("settings.reloaded", changed=changed)
        if changed and isinstance(settings, GatewaySettings):
            self._settings = settings
            self._take(settings)

    def _read_file_stamps(self) -> list[tuple[int, int]]:
        stamps = []
        for path in self._files:
            try:
                status = path.stat()
            except OSError:
                # A file that is being replaced exists again at the next check.
                continue
            stamps.append((status.st_mtime_ns, status.st_size))
        return stamps


def needs_restart(before: GatewaySettings, after: GatewaySettings) -> bool:
    """Return whether a setting has changed that a running gateway can't apply."""
    return (
        after.gateway.listen != before.gateway.listen
        or after.gateway.memory != before.gateway.memory
        or after.store.address != before.store.address
    )
