"""The record of a run: what was sent, answered and run."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Creates an empty record at a path."""
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **fields: Any) -> None:
        """Writes an event."""
        values = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {values}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
