"""The delay of a link after one that ended at once."""

import random
from datetime import timedelta

from rhubarbpaddle.backoff import Backoff
from rhubarbpaddle.clock import Clock


class LinkBackoff:
    """Decides when the next link between two nodes may be opened.

    A link that ends soon after it was opened mostly ends again, and each one
    costs both nodes a handshake and the first messages.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        stable_time: timedelta,
        max_delay: timedelta,
    ) -> None:
        """Creates a backoff that permits the first link at once.

        Args:
            clock: The source of time.
            rng: Gives the delays jitter.
            stable_time: A link that lasted as long may be replaced at once.
            max_delay: The longest delay.
        """
        self._clock = clock
        self._stable_seconds = stable_time.total_seconds()
        self._backoff = Backoff(rng, max_delay)
        self._permitted_at = float("-inf")

    def record_end(self, seconds: float) -> None:
        """Records that a link ended.

        Args:
            seconds: How long it was open.
        """
        if seconds >= self._stable_seconds:
            self._backoff.reset()
            return
        delay = self._backoff.next_delay()
        self._permitted_at = self._clock.monotonic() + delay.total_seconds()

    def get_remaining_delay(self) -> timedelta:
        """Returns how long to wait until the next link may be opened."""
        seconds = self._permitted_at - self._clock.monotonic()
        return timedelta(seconds=max(0.0, seconds))
