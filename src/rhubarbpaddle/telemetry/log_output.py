"""Where log lines go."""

import sys
from typing import Self

import logbook

_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} part={record.channel} {record.message}"
)


class LogOutput:
    """Writes log lines to the standard error stream."""

    def __init__(self, level: str) -> None:
        self._handler = logbook.StreamHandler(sys.stderr, level=level.upper())
        self._handler.format_string = _FORMAT

    @classmethod
    def from_level(cls, level: str) -> Self:
        """Makes an output for events of at least this level."""
        return cls(level)

    def install(self) -> None:
        """Sends the log lines of the whole process to this output."""
        logbook.set_datetime_format("utc")
        self._handler.push_application()
