"""The clock interface, which tests implement with virtual time."""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """The source of time for everything that waits or measures."""

    def monotonic(self) -> float:
        """Returns the seconds since an arbitrary start; never decreases."""
        ...

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        ...

    async def sleep(self, duration: timedelta) -> None:
        """Suspends the current task for the duration."""
        ...
