"""The graceful shutdown of a node."""

from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.telemetry import get_logger
from rhubarbpaddle.work_count import WorkCount

# The time within which all gateways must have stopped choosing this node, and
# in which callers' health checks see that it is not ready.
NOTICE_PERIOD = timedelta(seconds=2)

_log = get_logger("shutdown")


class Shutdown:
    """Ends a node's work in order, within a time limit."""

    def __init__(
        self,
        announce_leaving: Callable[[], None],
        drain_callers: Callable[[], None],
        work: Mapping[str, WorkCount],
        clock: Clock,
        grace: timedelta,
        notice_period: timedelta = NOTICE_PERIOD,
    ) -> None:
        """Prepares a shutdown.

        Args:
            leave: Tells peers and callers that the node takes no new work.
            drain_callers: Ends idle callers' connections and refuses further
                requests.
            work: What has to end before the node may, by name for the log.
            clock: The source of time.
            grace: How long the shutdown may take.
            notice: How long the node still takes callers' new requests.
        """
        self._notice_period = notice_period
        self._announce_leaving = announce_leaving
        self._drain_callers = drain_callers
        self._work = work
        self._clock = clock
        self._grace = grace

    async def run(self) -> bool:
        """Returns once the node may exit.

        Returns:
            Whether all work ended; False if the time limit cut some off.
        """
        started = self._clock.monotonic()
        self._announce_leaving()
        with trio.move_on_after(self._grace.total_seconds()) as scope:
            await self._clock.sleep(min(self._notice_period, self._grace / 2))
            self._drain_callers()
            # Work of one kind can start work of another: the end of a caller's
            # request starts the report of its claim.
            while any(work.count for work in self._work.values()):
                for work in self._work.values():
                    await work.wait_none()
        elapsed = self._clock.monotonic() - started
        if scope.cancelled_caught:
            remaining = {name: work.count for name, work in self._work.items()}
            _log.warn("shutdown_grace_exceeded", seconds=elapsed, **remaining)
            return False
        _log.info("shutdown_completed", seconds=elapsed)
        return True
