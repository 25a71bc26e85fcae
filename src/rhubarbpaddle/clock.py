"""Time, passed in so that tests can replace it."""

from datetime import datetime, timedelta
from typing import Protocol


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
