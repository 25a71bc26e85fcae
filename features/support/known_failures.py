"""Lists the scenarios that are known to fail and are not run."""

from pathlib import Path

_PATH = Path(__file__).parents[2] / "KNOWN-RED.txt"
_PREFIX = "scenario: "


def load_known_failures() -> list[str]:
    """Returns the names of the scenarios that KNOWN-RED.txt lists."""
    return [
        line.removeprefix(_PREFIX).strip()
        for line in _PATH.read_text().splitlines()
        if line.startswith(_PREFIX)
    ]
