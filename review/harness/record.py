"""The record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Collects lines with the time since the start of the run."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Adds a line for an event that happens now."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.add(text)
        print(self._lines[-1], flush=True)

    def write(self, path: Path) -> None:
        """Writes all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")
