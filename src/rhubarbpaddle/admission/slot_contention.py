"""Whether using the last slots of an instance raises its throughput."""

from rhubarbpaddle.admission.slot_use import SlotUse

# Weight of the newest request in the averages, which thus cover about the last
# ten requests.
_NEWEST_WEIGHT = 0.1
_MIN_SAMPLES = 8


class SlotContention:
    """Compares the throughput with and without the last slots.

    On many instances, a request that starts in one of the last slots takes
    longer. That alone doesn't reduce the throughput, because the slot would be
    idle otherwise. It does if the requests that run at the same time slow
    down as well.
    """

    def __init__(self, regular_slots: int, slots: int) -> None:
        """Creates a comparison without samples.

        Args:
            regular_slots: Slots that are always used.
            slots: All slots, including the last ones.
        """
        self._regular_slots = regular_slots
        self._slots = slots
        self._ratios = dict.fromkeys(SlotUse, 1.0)
        self._samples = dict.fromkeys(SlotUse, 0)

    def record(self, ratio: float, use: SlotUse) -> None:
        """Records a completed request.

        Args:
            ratio: Its duration as a multiple of its route's mean.
            use: Which slots were used while it ran.
        """
        self._ratios[use] += _NEWEST_WEIGHT * (ratio - self._ratios[use])
        self._samples[use] += 1

    def reduces_throughput(self) -> bool:
        """Returns whether the last slots should stay free.

        Once there are enough samples of their use, they stay free until there
        are also enough samples without their use.
        """
        if self._samples[SlotUse.LAST] < _MIN_SAMPLES:
            return False
        if self._samples[SlotUse.FIRST] < _MIN_SAMPLES:
            return True
        first_ratio, beside_ratio, last_ratio = (
            max(self._ratios[use], 1e-3)
            for use in (SlotUse.FIRST, SlotUse.BESIDE_LAST, SlotUse.LAST)
        )
        last_slots = self._slots - self._regular_slots
        return (
            self._regular_slots / beside_ratio + last_slots / last_ratio
            < self._regular_slots / first_ratio
        )
