"""Measures how late the messages of a connection arrive."""

import math

# The rates of two clocks differ by less. The difference between the clocks is
# known as of the fastest message, which may have been days ago.
_MAX_DRIFT = 0.0005


class TransitDelay:
    """Compares the delays of messages that carry the sender's time.

    The clocks of sender and receiver are unrelated. The message with the
    shortest transit so far shows the difference between them, apart from its
    own transit time.
    """

    def __init__(self) -> None:
        self._min_difference = math.inf
        self._received_at = 0.0

    def measure(self, sent_at: float, received_at: float) -> float:
        """Returns how much longer a message took than the fastest one.

        Args:
            sent_at: Monotonic seconds of the sender.
            received_at: Monotonic seconds of the receiver.
        """
        difference = received_at - sent_at
        drift = _MAX_DRIFT * (received_at - self._received_at)
        self._min_difference = min(self._min_difference + drift, difference)
        self._received_at = received_at
        return difference - self._min_difference
