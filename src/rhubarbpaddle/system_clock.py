"""The clock of a real process."""

import time
from datetime import UTC, datetime, timedelta

import trio


class SystemClock:
    """Reads trio's monotonic time and the operating system's wall clock."""

    def monotonic(self) -> float:
        """Returns trio's time, so that a test's virtual clock applies."""
        return trio.current_time()

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.fromtimestamp(time.time(), UTC)

    async def sleep(self, duration: timedelta) -> None:
        """Suspends the current task for the duration."""
        await trio.sleep(duration.total_seconds())
