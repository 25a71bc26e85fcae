"""Whether an instance can accept one more request."""

from rhubarbpaddle.admission.block_reason import BlockReason
from rhubarbpaddle.admission.cold_start import ColdStart
from rhubarbpaddle.admission.failure_rate import FailureRate
from rhubarbpaddle.admission.instance_speed import InstanceSpeed
from rhubarbpaddle.admission.running_requests import RunningRequests
from rhubarbpaddle.admission.slot_contention import SlotContention
from rhubarbpaddle.clock import Clock


class InstanceCapacity:
    """Decides whether an instance can accept one more request now.

    It depends on the instance alone, not on the requests that are queued.
    """

    def __init__(
        self,
        regular_slots: int,
        slots: int,
        running: RunningRequests,
        contention: SlotContention,
        cold_start: ColdStart,
        speed: InstanceSpeed,
        failures: FailureRate,
        clock: Clock,
    ) -> None:
        """Creates the decision for an instance.

        Args:
            regular_slots: Slots that are always used.
            slots: All slots, including the last ones, which are used only
                while requests wait.
            running: The requests that the instance runs.
            contention: Whether using the last slots raises the throughput.
            cold_start: The instance's cold start.
            speed: Whether the instance is slow.
            failures: Whether the instance fails many of its requests.
            clock: The source of time.
        """
        self._regular_slots = regular_slots
        self._slots = slots
        self._running = running
        self._contention = contention
        self._cold_start = cold_start
        self._speed = speed
        self._failures = failures
        self._clock = clock

    def get_queue_limit(self) -> int:
        """Returns how many requests may run for a queued one to start."""
        # There are no samples yet at the start of a cold instance, which would
        # use its last slots first and thereby slow down everything it runs.
        if (
            self._cold_start.is_active(self._clock.monotonic())
            or self._contention.reduces_throughput()
        ):
            return self._regular_slots
        return self._slots

    def find_occupancy(self, limit: int) -> BlockReason | None:
        """Returns why there is no room, which this node knows by itself.

        Args:
            limit: Requests that may run concurrently.
        """
        if not self._cold_start.has_capacity(self._clock.monotonic()):
            return BlockReason.COLD
        if self._running.count >= limit:
            return BlockReason.FULL
        return None

    def find_block_reason(self, limit: int) -> BlockReason | None:
        """Returns why the instance can't accept a request, or None.

        Args:
            limit: Requests that may run concurrently.
        """
        occupancy = self.find_occupancy(limit)
        if occupancy is not None:
            return occupancy
        if self._speed.is_slow(self._clock.monotonic()):
            return BlockReason.SLOW
        if self._failures.is_failing():
            return BlockReason.FAILING
        return None
