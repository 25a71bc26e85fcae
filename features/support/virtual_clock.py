"""A clock whose wall time follows trio's virtual time."""

from datetime import UTC, datetime, timedelta

import trio

_START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Trio's virtual time, which passes only while all tasks wait.

    Attributes:
        wall_offset: By how much the wall clock has jumped.
    """

    def __init__(self) -> None:
        self.wall_offset = timedelta()

    def monotonic(self) -> float:
        """Returns the virtual time in seconds."""
        return trio.current_time()

    def now(self) -> datetime:
        """Returns a fixed start date plus the virtual time and the jump."""
        elapsed = timedelta(seconds=trio.current_time())
        return _START + elapsed + self.wall_offset

    async def sleep(self, duration: timedelta) -> None:
        """Waits for the duration in virtual time."""
        await trio.sleep(duration.total_seconds())
