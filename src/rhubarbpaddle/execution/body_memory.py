"""The memory for request bodies that are kept for another attempt."""

# An eighth of the memory that a node may use.
_MAX_TOTAL_BYTES = 4 * 1024 * 1024


class BodyMemory:
    """Limits the memory of all bodies that a node keeps at a time."""

    def __init__(self, limit: int = _MAX_TOTAL_BYTES) -> None:
        """Creates unused memory.

        Args:
            limit: The maximum of all bodies together in bytes.
        """
        self._unused = limit

    def try_take(self, size: int) -> bool:
        """Takes bytes if there are enough; returns whether it did."""
        if size > self._unused:
            return False
        self._unused -= size
        return True

    def give_back(self, size: int) -> None:
        """Returns bytes that were taken."""
        self._unused += size
