"""Sends the log lines of the process to a standard stream."""

import sys
from typing import Self, TextIO

import logbook

from rhubarbpaddle.telemetry.rate_limited_handler import RateLimitedHandler

_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} part={record.channel} {record.message}"
)


class LogOutput:
    """Writes log lines to a standard stream."""

    def __init__(self, level: str, stream: TextIO) -> None:
        self._handler = RateLimitedHandler(
            stream.fileno(), level.upper(), _FORMAT
        )

    @classmethod
    def from_level(cls, level: str, stream: TextIO | None = None) -> Self:
        """Creates an output for events of at least this level.

        Args:
            level: The name of the lowest level that is written.
            stream: The stream to write to; standard error if None.
        """
        return cls(level, stream or sys.stderr)

    def install(self) -> None:
        """Sends the log lines of the whole process to this output."""
        logbook.set_datetime_format("utc")
        self._handler.push_application()  # type: ignore[no-untyped-call]
