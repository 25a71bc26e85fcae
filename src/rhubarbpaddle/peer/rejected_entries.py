"""The entries that a control link has rejected."""

from collections.abc import Hashable

# Bounds the memory and the lines that a neighbour can cause.
_MAX_ENTRIES = 64


class RejectedEntries:
    """Remembers which entries were rejected, to log each of them once.

    Neighbours send an entry again with each repair of their member tables.
    """

    def __init__(self) -> None:
        self._keys: set[Hashable] = set()

    def add(self, key: Hashable) -> bool:
        """Records a rejected entry.

        Args:
            key: Identifies the entry.

        Returns:
            Whether to log it: it is new, and there have not been too many.
        """
        if key in self._keys or len(self._keys) >= _MAX_ENTRIES:
            return False
        self._keys.add(key)
        return True
