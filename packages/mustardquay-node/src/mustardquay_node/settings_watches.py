"""Settings watches: the settings files of a gateway, read anew as they change."""

from collections.abc import Callable, Sequence
from pathlib import Path

from mustardquay.errors import SettingsError
from mustardquay.events import EventRing

from .settings import GatewaySettings, read_settings

__all__ = ["SettingsWatch"]


class SettingsWatch:
    """Reads the files when it is told to, and when they have changed by themselves."""

    def __init__(
        self,
        files: Sequence[Path],
        settings: GatewaySettings,
        events: EventRing,
        take: Callable[[GatewaySettings], None],
    ):
        """Take `take`, which hears of settings that differ from those before."""
        self._files = tuple(files)
        self._settings = settings
        self._events = events
        self._take = take
        self._stamps = self._read_stamps()

    def look(self) -> None:
        """Read the files again if they have changed."""
        if self._read_stamps() != self._stamps:
            self.reload()

    def reload(self) -> None:
        """Read the files again; settings that can't be used change nothing."""
        if not self._files:
            return
        try:
            settings = read_settings(*self._files)
        except SettingsError as error:
            self._events.record("settings.refused", error=str(error))
            return
        changed = settings != self._settings
        self._stamps = self._read_stamps()
        self._events.record("settings.reloaded", changed=changed)
        if changed and isinstance(settings, GatewaySettings):
            self._settings = settings
            self._take(settings)

    def _read_stamps(self) -> list[tuple[int, int]]:
        stamps = []
        for path in self._files:
            try:
                status = path.stat()
            except OSError:
                # A file that is being replaced is there again at the next look.
                continue
            stamps.append((status.st_mtime_ns, status.st_size))
        return stamps
