"""The record of what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event to `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Creates an empty record.

        Args:
            path: The file, which is replaced.
        """
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the record began."""
        return time.monotonic() - self._started

    def add(self, event: str, **fields: object) -> None:
        """Writes an event with its fields."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()
