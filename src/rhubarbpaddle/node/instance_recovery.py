"""The recovery of an instance that is down."""

from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.node.published_instance import PublishedInstance

# How often an instance that is down, but did not restart, is checked again.
_RECHECK_INTERVAL = timedelta(milliseconds=200)


class InstanceRecovery:
    """Decides when an instance that is down can be used again."""

    def __init__(self, published: PublishedInstance, clock: Clock) -> None:
        """Creates the recovery of an instance that is not down.

        Args:
            published: The instance.
            clock: The source of time.
        """
        self._published = published
        self._clock = clock
        self._went_down = trio.Event()

    def start(self) -> None:
        """Begins to recheck the instance, which has just been marked down."""
        self._went_down.set()

    async def run(self) -> None:
        """Rechecks an instance that is down until it responds or restarts."""
        while True:
            await self._went_down.wait()
            self._went_down = trio.Event()
            while (attached := self._published.get()) is not None and (
                attached.summary.state is UpstreamState.DOWN
            ):
                await self._clock.sleep(_RECHECK_INTERVAL)
                await self._recheck(attached)

    async def _recheck(self, attached: AttachedInstance) -> None:
        monitor = attached.monitor
        monitor.invalidate()
        await monitor.refresh(0.0)
        reading = monitor.reading
        if (
            not monitor.refused
            and monitor.get_age() < _RECHECK_INTERVAL.total_seconds()
            and reading is not None
            and reading.instance in (None, attached.summary.instance)
            and self._published.get() is attached
        ):
            attached.admission.set_cold(reading.cold_seconds or 0.0)
            self._published.set_state(UpstreamState.WARM)
