"""A clock whose wall time follows trio's virtual time."""

from datetime import UTC, datetime, timedelta

import trio

_START = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Trio's virtual time, which passes only while all tasks wait."""

    def monotonic(self) -> float:
        """Returns the virtual time in seconds."""
        return trio.current_time()

    def now(self) -> datetime:
        """Returns a fixed start date plus the virtual time."""
        return _START + timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:
        """Waits for the duration in virtual time."""
        await trio.sleep(duration.total_seconds())
