"""Whether the last slots of an instance add to what it gets done."""

from rhubarbpaddle.admission.slot_use import SlotUse

# Weight of the newest request; about the last ten count.
_WEIGHT = 0.1
_LEAST_SAMPLES = 8


class Crowding:
    """Compares the throughput with and without the last slots.

    A request that begins in one of the last slots takes longer on many
    instances. That alone is no harm: the slot would be idle otherwise. It is
    harm if the requests beside it take longer too.
    """

    def __init__(self, limit: int, slots: int) -> None:
        """Makes a comparison that has seen nothing.

        Args:
            limit: Slots that are used in any case.
            slots: All slots.
        """
        self._limit = limit
        self._slots = slots
        self._ratios = dict.fromkeys(SlotUse, 1.0)
        self._samples = dict.fromkeys(SlotUse, 0)

    def note(self, ratio: float, use: SlotUse) -> None:
        """Notes a request.

        Args:
            ratio: The time that it took, as a multiple of its route's mean.
            use: What slots were used while it ran.
        """
        self._ratios[use] += _WEIGHT * (ratio - self._ratios[use])
        self._samples[use] += 1

    def is_harmful(self) -> bool:
        """Returns whether the last slots should stay free.

        After some use they do until it is known how long work takes without.
        """
        if self._samples[SlotUse.LAST] < _LEAST_SAMPLES:
            return False
        if self._samples[SlotUse.FIRST] < _LEAST_SAMPLES:
            return True
        first, beside, last = (
            max(self._ratios[use], 1e-3)
            for use in (SlotUse.FIRST, SlotUse.BESIDE_LAST, SlotUse.LAST)
        )
        extra = self._slots - self._limit
        return self._limit / beside + extra / last < self._limit / first
