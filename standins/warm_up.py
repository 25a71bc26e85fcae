"""How much an upstream bears after its start."""

import trio


class WarmUp:
    """An upstream that is slow and bears little until it is warm.

    It bears one request at first, all slots at the end, and proportionally
    many in between. While it warms up it is up to 4 times slower, and slower
    still from half of what it bears on, where it takes twice as long.

    Attributes:
        violations: Requests that came while it ran all that it bore.
        shows_strain: Whether its latency tells anything before it falls over.
    """

    def __init__(self, slots: int, seconds: float, requests: int = 0) -> None:
        """Makes a cold upstream.

        Args:
            slots: Requests that it bears when warm.
            seconds: The least time until it is warm.
            requests: Answers until it is warm; 0 if they do not matter.
        """
        self.violations = 0
        self.shows_strain = True
        self._slots = slots
        self._seconds = seconds
        self._requests = requests
        self.restart()

    def restart(self) -> None:
        """Falls back into cold start."""
        self._started = trio.current_time()
        self._answers = 0

    def note_answer(self) -> None:
        """Counts an answer."""
        self._answers += 1

    def get_warmth(self) -> float:
        """Returns 0 for cold to 1 for warm."""
        age = trio.current_time() - self._started
        by_time = age / self._seconds if self._seconds else 1.0
        by_work = self._answers / self._requests if self._requests else 1.0
        return min(1.0, by_time, by_work)

    def get_bearable(self) -> float:
        """Returns how many requests it bears at once now."""
        return 1 + self.get_warmth() * (self._slots - 1)

    def get_slowdown(self, in_flight: int) -> float:
        """Returns how much longer than in the warm state a request takes."""
        warmth = self.get_warmth()
        if warmth >= 1 or not self.shows_strain:
            return 1.0
        strain = max(1.0, 2 * in_flight / self.get_bearable())
        return (1 + 3 * (1 - warmth)) * strain
