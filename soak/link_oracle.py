"""Checks in the logs of nodes how often their control links end."""

import re
from collections.abc import Iterator
from pathlib import Path

# A node logs at most one line a second for each peer, with the number of ends
# in the second after the line before. A link that ends at once is opened again
# after 0.1 s, 0.2 s and so on, from both sides. Faults of the run add some.
_MAX_ENDS_PER_SECOND = 20
_END = re.compile(
    r"event=control_link_lost peer=(\S+) .* reason=(.*) lasted_ms=.*"
    r" not_logged=(\d+)"
)


class LinkOracle:
    """Finds links that were opened again and again."""

    def __init__(self, folder: Path) -> None:
        """Creates an oracle.

        Args:
            folder: The folder of the nodes' logs.
        """
        self._folder = folder

    def iter_violations(self) -> Iterator[str]:
        """Yields a line for each second in which links ended too often."""
        for path in sorted(self._folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                match = _END.search(line)
                if match is not None and int(match[3]) > _MAX_ENDS_PER_SECOND:
                    yield (
                        f"LINKS {path.stem}: {match[3]} links with {match[1]} "
                        f"ended within a second: {match[2]}"
                    )
