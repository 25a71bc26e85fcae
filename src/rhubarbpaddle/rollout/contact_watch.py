"""Whether this node is in contact with others or the store."""

from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.clock import Clock


class ContactWatch:
    """Detects that news of a roll-out may not reach this node.

    A node that resumes after a pause has no contact until a neighbour has sent
    something again.
    """

    def __init__(
        self,
        clock: Clock,
        has_active_link: Callable[[], bool],
        max_silence: timedelta,
    ) -> None:
        """Creates a watch of a node that has had no contact yet.

        Args:
            clock: The source of time.
            has_active_link: Returns whether a neighbour has sent anything very
                recently.
            max_silence: After this time the node may have missed news.
        """
        self._clock = clock
        self._has_active_link = has_active_link
        self._max_silence = max_silence.total_seconds()
        self._contact_at = float("-inf")

    def record_store_read(self) -> None:
        """Records that the states in the store have been read."""
        self._contact_at = self._clock.monotonic()

    def has_link(self) -> bool:
        """Returns whether a neighbour has sent anything very recently."""
        if not self._has_active_link():
            return False
        self._contact_at = self._clock.monotonic()
        return True

    def has_contact(self) -> bool:
        """Returns whether news reached this node recently enough."""
        return self.has_link() or (
            self._clock.monotonic() - self._contact_at <= self._max_silence
        )
