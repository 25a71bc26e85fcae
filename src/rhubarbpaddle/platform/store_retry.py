"""Repeats calls to the platform's store until they succeed."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from rhubarbpaddle.backoff import Backoff
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.telemetry import get_logger

_BACKOFF_LIMIT = timedelta(seconds=1)

_log = get_logger("directory")


class StoreRetry:
    """Calls the store again after growing delays."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng

    async def run(self, operation: Callable[[], Awaitable[None]]) -> None:
        """Runs an operation that may run more than once until it succeeds."""
        backoff = Backoff(self._rng, _BACKOFF_LIMIT)
        while True:
            try:
                await operation()
            except (AppendUnknownError, LogUnavailableError) as exc:
                _log.warn("directory_failed", error=exc)
                await self._clock.sleep(backoff.next_delay())
            else:
                return
