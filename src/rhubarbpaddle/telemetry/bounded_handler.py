"""Writes log lines without waiting and within a bound."""

import os
import time
from collections import Counter

import logbook

# A node writes a few lines a second in calm times. Many more only repeat what
# the first show, and each costs processor time.
LINES_PER_SECOND = 150
_BURST_LINES = 300
# Lines of normal operation leave this many for those that explain a failure.
_RESERVED_LINES = 150
# Each event has this many lines of its own a second, so that a frequent one
# does not crowd out a rare one.
LINES_PER_EVENT_SECOND = 5


class BoundedHandler(logbook.Handler):
    """Drops lines beyond a rate, and those that the reader does not take.

    The next line that is written tells how many were dropped. Lines of normal
    operation are dropped first, warnings and errors never for the rate.
    """

    def __init__(self, descriptor: int, level: str, format_string: str) -> None:
        """Makes a handler.

        Args:
            descriptor: Where to write; it is made not to block.
            level: The least level of the lines.
            format_string: The form of a line.
        """
        super().__init__(level=level)  # type: ignore[no-untyped-call]
        self.formatter = logbook.StringFormatter(format_string)
        self.dropped = 0
        self._descriptor = descriptor
        self._tokens = float(_BURST_LINES)
        self._filled_at = time.monotonic()
        self._event_second = 0
        self._event_lines: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        reserved = _RESERVED_LINES if record.level <= logbook.INFO else 0
        taken = self._take_event_line(record) or self._take_token(reserved)
        if not taken and record.level < logbook.WARNING:
            self.dropped += 1
            return
        line = str(self.format(record))  # type: ignore[no-untyped-call]
        if self.dropped:
            line += f" dropped={self.dropped}"
        try:
            os.write(self._descriptor, line.encode() + b"\n")
        except OSError:
            # Nobody reads, and there is nowhere else to tell of it.
            self.dropped += 1
            return
        self.dropped = 0

    def _take_event_line(self, record: logbook.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._event_second:
            self._event_second = second
            self._event_lines.clear()
        # Messages begin with the event's name, see `format_event`.
        event = str(record.message).partition(" ")[0]
        self._event_lines[event] += 1
        return self._event_lines[event] <= LINES_PER_EVENT_SECOND

    def _take_token(self, reserved: int) -> bool:
        now = time.monotonic()
        earned = (now - self._filled_at) * LINES_PER_SECOND
        self._filled_at = now
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        if self._tokens < 1 + reserved:
            return False
        self._tokens -= 1
        return True
