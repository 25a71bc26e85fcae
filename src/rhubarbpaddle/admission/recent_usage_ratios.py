"""The usage ratios that an instance's requests carried recently."""

import math
from bisect import bisect_left, insort

from rhubarbpaddle.admission.organisation_use import OrganisationUse

# How long the ratio of an organisation counts after its last request. An
# instance gets 5 to 12 requests a second, so that a shorter period leaves too
# few organisations for a comparison; a longer one compares the present ratios
# with those from before a burst of all organisations.
PERIOD_SECONDS = 2.0


class RecentUsageRatios:
    """Keeps the latest ratio of each organisation, and all in sorted order.

    The cost of a request grows with the logarithm of the number of
    organisations, apart from the insertion into a list of numbers.
    """

    def __init__(self) -> None:
        # In order of the latest request.
        self._uses: dict[str, OrganisationUse] = {}
        self._sorted_ratios: list[float] = []

    def __len__(self) -> int:
        return len(self._uses)

    def get(self, organisation: str) -> OrganisationUse | None:
        """Returns what is known of an organisation, or None."""
        return self._uses.get(organisation)

    def record(self, organisation: str, use: OrganisationUse) -> None:
        """Records the use of an organisation and discards old ones."""
        previous = self._uses.pop(organisation, None)
        if previous is not None:
            self._remove_ratio(previous.ratio)
        self._uses[organisation] = use
        insort(self._sorted_ratios, use.ratio)
        self._discard_old(use.seen_at)

    def replace(self, organisation: str, use: OrganisationUse) -> None:
        """Replaces the use of a known organisation, with an equal ratio."""
        self._uses[organisation] = use

    def list_recent(self, now: float) -> list[OrganisationUse]:
        """Returns the uses that count at a time.

        Old uses are discarded only when the next one is recorded.
        """
        return [
            use
            for use in self._uses.values()
            if now - use.seen_at <= PERIOD_SECONDS
        ]

    def get_reference(self) -> float:
        """Returns the usual ratio that high ratios are compared with.

        This is the median of the other organisations, the lower one of two.
        It doesn't move when up to half of the organisations send more than
        usual, however many requests these send. For a ratio that isn't above
        it, the own ratio may be included, which gives the same comparison. The
        reference is infinite if fewer than two organisations are known.
        """
        others = len(self._sorted_ratios) - 1
        if others < 1:
            return math.inf
        return self._sorted_ratios[(others - 1) // 2]

    def _discard_old(self, now: float) -> None:
        while True:
            organisation, use = next(iter(self._uses.items()))
            if now - use.seen_at <= PERIOD_SECONDS:
                return
            del self._uses[organisation]
            self._remove_ratio(use.ratio)

    def _remove_ratio(self, ratio: float) -> None:
        del self._sorted_ratios[bisect_left(self._sorted_ratios, ratio)]
