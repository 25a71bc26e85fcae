"""Shuts a node down gracefully."""

from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.telemetry import get_logger
from rhubarbpaddle.work_count import WorkCount

# Within this time all gateways must have stopped selecting this node, and the
# callers' health checks must have detected that it is not ready.
NOTICE_PERIOD = timedelta(seconds=2)
# The time after the deadline of a request in which its response is sent.
_RESPONSE_TIME = timedelta(milliseconds=250)

_log = get_logger("shutdown")


class Shutdown:
    """Stops new requests and waits for running ones, within a time limit."""

    def __init__(
        self,
        announce_leaving: Callable[[], None],
        deadline_limit: DeadlineLimit,
        drain_callers: Callable[[], None],
        work: Mapping[str, WorkCount],
        clock: Clock,
        grace: timedelta,
        notice_period: timedelta = NOTICE_PERIOD,
        handover_period: timedelta = timedelta(),
    ) -> None:
        """Creates a shutdown that has not started.

        Args:
            announce_leaving: Announces to peers and callers that the node
                accepts no new work.
            deadline_limit: Brought forward to the end of the grace period.
            drain_callers: Closes idle callers' connections and refuses further
                requests.
            work: Counts of the work that must end before the node exits, by
                the name used in the log.
            clock: The source of time.
            grace: The time limit of the shutdown.
            notice_period: How long the node still accepts new requests of
                callers.
            handover_period: How long the process runs at least after that, so
                that other nodes learn that it leaves and take over its duties.
        """
        self._notice_period = notice_period
        self._handover_period = handover_period
        self._announce_leaving = announce_leaving
        self._deadline_limit = deadline_limit
        self._drain_callers = drain_callers
        self._work = work
        self._clock = clock
        self._grace = grace

    async def run(self) -> bool:
        """Shuts down and returns when the process may exit.

        Returns:
            Whether all work ended; False if the time limit interrupted some.
        """
        started = self._clock.monotonic()
        self._deadline_limit.latest = (
            started + (self._grace - _RESPONSE_TIME).total_seconds()
        )
        self._announce_leaving()
        with trio.move_on_after(self._grace.total_seconds()) as scope:
            await self._clock.sleep(min(self._notice_period, self._grace / 2))
            self._drain_callers()
            await self._clock.sleep(self._handover_period)
            # Work of one kind can start work of another: when a caller's
            # request ends, the report of its claim starts.
            while any(work.count for work in self._work.values()):
                for work in self._work.values():
                    await work.wait_idle()
        elapsed = self._clock.monotonic() - started
        if scope.cancelled_caught:
            remaining = {name: work.count for name, work in self._work.items()}
            _log.warn("shutdown_grace_exceeded", seconds=elapsed, **remaining)
            return False
        _log.info("shutdown_completed", seconds=elapsed)
        return True
