"""A log handler that limits the rate of lines and never blocks."""

import os
import time
from collections import Counter

import logbook

# A node normally writes a few lines per second. Many more would only repeat the
# first ones, and each costs processor time.
LINES_PER_SECOND = 150
_BURST_LINES = 300
# The part of the burst that lines at level INFO or below may not use.
_RESERVED_LINES = 150
# Lines per second that each event may write regardless of the common limit, so
# that a frequent event does not crowd out a rare one.
LINES_PER_SECOND_PER_EVENT = 5


class RateLimitedHandler(logbook.Handler):
    """Drops lines beyond a rate, and lines whose write would block.

    The next written line reports how many were dropped. Lines at level INFO or
    below are dropped first; warnings and errors are exempt from the rate.

    Attributes:
        dropped: Lines dropped since the last one that was written.
    """

    def __init__(self, descriptor: int, level: str, format_string: str) -> None:
        """Creates a handler.

        Args:
            descriptor: The file descriptor to write to; it is made
                non-blocking.
            level: The lowest level that is written.
            format_string: The format of a line, as for `StringFormatter`.
        """
        super().__init__(level=level)  # type: ignore[no-untyped-call]
        self.formatter = logbook.StringFormatter(format_string)
        self.dropped = 0
        self._descriptor = descriptor
        self._tokens = float(_BURST_LINES)
        self._refilled_at = time.monotonic()
        self._counted_second = 0
        self._event_lines: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        reserved = _RESERVED_LINES if record.level <= logbook.INFO else 0
        permitted = self._use_event_quota(record) or self._use_token(reserved)
        if not permitted and record.level < logbook.WARNING:
            self.dropped += 1
            return
        line = str(self.format(record))  # type: ignore[no-untyped-call]
        if self.dropped:
            line += f" dropped={self.dropped}"
        # Values from outside may hold characters that UTF-8 can't.
        encoded = line.encode(errors="backslashreplace")
        try:
            os.write(self._descriptor, encoded + b"\n")
        except OSError:
            # The reader has closed the stream or is too slow, and there is
            # no other place to report it.
            self.dropped += 1
            return
        self.dropped = 0

    def _use_event_quota(self, record: logbook.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._counted_second:
            self._counted_second = second
            self._event_lines.clear()
        # Messages start with the name of the event, see `format_event`.
        event = str(record.message).partition(" ")[0]
        self._event_lines[event] += 1
        return self._event_lines[event] <= LINES_PER_SECOND_PER_EVENT

    def _use_token(self, reserved: int) -> bool:
        now = time.monotonic()
        refilled = (now - self._refilled_at) * LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(_BURST_LINES, self._tokens + refilled)
        if self._tokens < 1 + reserved:
            return False
        self._tokens -= 1
        return True
