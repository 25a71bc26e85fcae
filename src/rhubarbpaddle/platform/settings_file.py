"""The settings file of a node and its changes."""

from datetime import timedelta
from pathlib import Path

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.platform.settings import PlatformSettings
from rhubarbpaddle.telemetry import get_logger

_CHECK_INTERVAL = timedelta(seconds=1)

_log = get_logger("node")


class SettingsFile:
    """Keeps the settings of a process equal to a valid settings file.

    Attributes:
        settings: The settings, as last read from the file.
    """

    def __init__(
        self, path: Path, settings: PlatformSettings, clock: Clock
    ) -> None:
        """Creates a file that is not watched yet.

        Args:
            path: The settings file.
            settings: Its content.
            clock: The source of time.
        """
        self.settings = settings
        self._path = path
        self._clock = clock
        # `run` compares with this time, so that it also applies a change made
        # while the node starts.
        self._modified_at = self._read_modification_time()

    async def run(self) -> None:
        """Reloads the settings if the file changes without a SIGHUP."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            modified_at = self._read_modification_time()
            if modified_at != self._modified_at:
                self._modified_at = modified_at
                self.reload()

    def reload(self) -> None:
        """Rereads the settings file; keeps the old settings if it is invalid.

        Objects that received a setting when the node was created keep the old
        value.
        """
        try:
            settings = PlatformSettings.from_file(self._path)
        except SettingsError as exc:
            _log.warn("settings_invalid", error=exc)
            return
        changed = [
            name
            for name, old, new in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if old != new
        ]
        self.settings = settings
        _log.info("settings_reloaded", changed=",".join(changed))

    def _read_modification_time(self) -> int:
        """Returns nanoseconds since the epoch, or 0 if it can't be read."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            _log.warn("settings_unreadable", reason=exc)
            return 0
