"""Time, passed in so that tests can replace it."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """The source of time for everything that waits or measures."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never goes back."""
        ...

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        ...

    async def sleep(self, duration: timedelta) -> None:
        """Waits for the duration."""
        ...


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
