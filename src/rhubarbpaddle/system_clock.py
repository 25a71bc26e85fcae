"""The operating system's clock."""

import time
from datetime import UTC, datetime, timedelta

import trio


class SystemClock:
    """The clock of the trio run loop and of the operating system."""

    def monotonic(self) -> float:
        """Returns trio's time, so that a virtual clock of tests applies."""
        return trio.current_time()

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.fromtimestamp(time.time(), UTC)

    async def sleep(self, duration: timedelta) -> None:
        """Waits for the duration."""
        await trio.sleep(duration.total_seconds())
